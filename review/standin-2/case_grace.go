package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["grace"] = caseGrace }

// caseGrace: grace-s in the settings file changes from 6 to 10, and SIGHUP says so.
// Later the node gets SIGTERM, and has grace-s to finish what it has passed on. LOST:
// it doesn't cut a request whose target is at work before the last sixth of grace-s.
// Without trouble, grace-s is 10 from the start.
func caseGrace() []string {
	const (
		grace = 10 * time.Second
		work  = 6500 * time.Millisecond
	)
	st := newStore()
	st.put("op", "config", configuration(7, route("r-orders", "/orders/", "unsafe", "")))
	addr, _ := st.serve()
	p := newPlace("n1", "wien-a", "wien", "auftrag", addr)
	if !trouble {
		p.grace = "10"
	}
	n := launch(p)
	n.awaitReady(15 * time.Second)
	t := newTarget("i-0000000a", "auftrag", "wien-a", n.control)
	t.work = work
	t.awaitAck(10 * time.Second)
	go t.beats()
	time.Sleep(4 * time.Second)
	if trouble {
		record("the settings change: grace-s is 10 now")
		n.grace = "10"
		n.writeSettings()
		n.signal(syscall.SIGHUP)
	}
	time.Sleep(6 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	next := ids("a")
	for range 5 {
		id := next()
		wg.Go(func() {
			a := ask(n.outbound, "POST", "/orders/1/", id, 8*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	time.Sleep(300 * time.Millisecond)
	term := time.Now()
	n.signal(syscall.SIGTERM)
	wg.Wait()
	if n.wait(grace - time.Since(term)) {
		record("node n1 has ended")
	} else {
		n.signal(syscall.SIGKILL)
	}
	started := make(map[string]bool)
	for _, x := range t.started() {
		started[x] = true
	}
	var broken []string
	for id, a := range answers {
		if started[id] && (a.status != http.StatusOK || !a.whole) {
			broken = append(broken, fmt.Sprintf("LOST: %s was cut while its target was at work on it, before the last sixth of grace-s: status %d %s", id, a.status, a.err))
		}
	}
	return broken
}
