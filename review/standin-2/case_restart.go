package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restart"] = caseRestart }

// contactTime is contact-ms of the small deployments.
const contactTime = 3 * time.Second

// caseRestart: the first liveness report of a target is under way for 5 s. Meanwhile
// the target deregisters, which its node acknowledges, and the node is killed and
// started again. DRAIN: no request reaches the target later than drain-ms after the
// acknowledgement.
func caseRestart() []string {
	st := newStore()
	st.put("op", "config", configuration(7, route("r-orders", "/orders/", "unsafe", `,"timeout-ms":800`)))
	addr, _ := st.serve()
	n1 := launch(newPlace("n1", "wien-a", "wien", "auftrag", addr))
	n2 := launch(newPlace("n2", "graz-a", "graz", "auftrag", addr))
	n1.awaitReady(15 * time.Second)
	n2.awaitReady(15 * time.Second)
	t2 := newTarget("i-0000000b", "auftrag", "graz-a", n2.control)
	t2.work = 100 * time.Millisecond
	t2.awaitAck(10 * time.Second)
	go t2.beats()
	time.Sleep(12 * time.Second)

	t1 := newTarget("i-0000000a", "auftrag", "wien-a", n1.control)
	t1.work = 300 * time.Millisecond
	late := t1.report("ready")
	sent := time.Now()
	record("target %s starts and sends its first report, which is under way for long", t1.id)
	time.Sleep(1500 * time.Millisecond)
	if !t1.beat() {
		cannotRun("the second report was not acknowledged")
	}
	next := ids("a")
	for range 5 {
		ask(n1.outbound, "POST", "/orders/1/", next(), 5*time.Second)
	}
	t1.leaving.Store(true) // Its health check fails from now on.
	if !t1.call("instances.deregister", t1.id, map[string]any{"born": t1.born}) {
		cannotRun("the leave was not acknowledged")
	}
	acked := time.Now()
	record("the node has acknowledged that %s is gone; it goes on serving for a while", t1.id)
	inTouch := acked
	if trouble {
		n1.signal(syscall.SIGKILL)
		n1.wait(5 * time.Second)
		time.Sleep(500 * time.Millisecond)
		n1.start()
		inTouch = time.Now().Add(contactTime)
		n1.awaitReady(15 * time.Second)
	}
	time.Sleep(time.Until(sent.Add(5 * time.Second)))
	record("the first report of %s arrives", t1.id)
	t1.call("instances.heartbeat", t1.id, late)

	end := acked.Add(drainTime + serveAfter)
	time.Sleep(time.Until(inTouch))
	var wg sync.WaitGroup
	for i, n := range []*node{n1, n1, n1, n1, n2, n2, n2, n2} {
		wg.Go(func() {
			next := ids(string(rune('b' + i)))
			for time.Now().Before(end) {
				ask(n.outbound, "POST", "/orders/1/", next(), 5*time.Second)
			}
		})
	}
	time.Sleep(time.Until(end.Add(-300 * time.Millisecond)))
	record("target %s ends", t1.id)
	t1.srv.Close()
	wg.Wait()
	var over []run
	for _, x := range t1.seen() {
		if x.at.Sub(acked) > drainTime && x.at.After(inTouch) {
			over = append(over, x)
		}
	}
	if len(over) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached %s later than %v after its node acknowledged that it is gone; the first, %s, %v after it",
		len(over), t1.id, drainTime, over[0].id, over[0].at.Sub(acked).Round(time.Millisecond))}
}
