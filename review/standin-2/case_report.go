package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["report"] = caseReport }

// Bounds of the small deployments.
const (
	drainTime  = 2500 * time.Millisecond // drain-ms
	applyTime  = 2500 * time.Millisecond // config-apply-ms
	serveAfter = 6 * time.Second         // how long the target serves after drain-ms
)

// caseReport: a target says that it is draining, and its node acknowledges. Then one
// liveness report of another writer arrives, with fields missing and of another type,
// which names no target to use. DRAIN: no request reaches the target later than
// drain-ms after the acknowledgement.
func caseReport() []string {
	st := newStore()
	st.put("op", "config", configuration(7, route("r-orders", "/orders/", "unsafe", `,"timeout-ms":800`)))
	addr, _ := st.serve()
	n1 := launch(newPlace("n1", "wien-a", "wien", "auftrag", addr))
	n2 := launch(newPlace("n2", "graz-a", "graz", "auftrag", addr))
	n1.awaitReady(15 * time.Second)
	n2.awaitReady(15 * time.Second)
	t1 := newTarget("i-0000000a", "auftrag", "wien-a", n1.control)
	t2 := newTarget("i-0000000b", "auftrag", "graz-a", n2.control)
	t1.awaitAck(10 * time.Second)
	t2.awaitAck(10 * time.Second)
	t1.work, t2.work = 300*time.Millisecond, 300*time.Millisecond
	go t1.beats()
	go t2.beats()
	// The machines have run undisturbed for far longer than contact-ms.
	time.Sleep(12 * time.Second)
	next := ids("a")
	for range 5 {
		ask(n1.outbound, "POST", "/orders/1/", next(), 5*time.Second)
		ask(n2.outbound, "POST", "/orders/1/", next(), 5*time.Second)
	}
	if len(t1.seen()) == 0 {
		cannotRun("target %s got no request", t1.id)
	}

	t1.leaving.Store(true)
	if !t1.beat() {
		cannotRun("the leave was not acknowledged")
	}
	acked := time.Now()
	record("the node has acknowledged that %s is draining", t1.id)
	time.Sleep(time.Second)
	if trouble {
		record("a liveness report of another writer arrives")
		odd := t1.report("ready")
		odd["info"] = map[string]any{"service": "auftrag", "capacity": 109}
		odd["status"] = map[string]any{"state": "ready", "seq": 1000, "warmup-left-ms": "none"}
		t1.call("instances.heartbeat", t1.id, odd)
	}
	end := acked.Add(drainTime + serveAfter)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i, n := range []*node{n1, n1, n1, n1, n2, n2, n2, n2} {
		wg.Go(func() {
			next := ids(string(rune('b' + i)))
			for time.Now().Before(end) {
				a := ask(n.outbound, "POST", "/orders/1/", next(), 5*time.Second)
				if a.status == 0 || a.status == 502 || a.status == 504 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Until(end.Add(-300 * time.Millisecond)))
	t1.end()
	wg.Wait()
	record("%d requests got no answer of a target", lost)
	var late []run
	for _, x := range t1.seen() {
		if x.at.Sub(acked) > drainTime {
			late = append(late, x)
		}
	}
	if len(late) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached %s later than %v after its node acknowledged that it is draining; the first, %s, %v after it",
		len(late), t1.id, drainTime, late[0].id, late[0].at.Sub(acked).Round(time.Millisecond))}
}
