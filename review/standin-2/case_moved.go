package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["moved"] = caseMoved }

// caseMoved: the settings files change: the platform's store has another address.
// SIGHUP says so. Then the operator adds a route. CONFIG: a request on it that is
// sent later than config-apply-ms after the acknowledgement isn't answered 404.
func caseMoved() []string {
	st := newStore()
	old := route("r-orders", "/orders/", "unsafe", `,"timeout-ms":800`)
	st.put("op", "config", configuration(7, old))
	addr, stopStore := st.serve()
	var ns []*node
	for i, z := range []string{"wien-a", "graz-a", "linz-a"} {
		ns = append(ns, launch(newPlace(fmt.Sprintf("n%d", i+1), z, z[:4], "auftrag", addr)))
	}
	for i, n := range ns {
		n.awaitReady(15 * time.Second)
		t := newTarget(fmt.Sprintf("i-0000000%d", i), "auftrag", n.zone, n.control)
		t.awaitAck(10 * time.Second)
		go t.beats()
	}
	time.Sleep(6 * time.Second)
	next := ids("a")
	for _, n := range ns {
		if a := ask(n.outbound, "POST", "/orders/1/", next(), 5*time.Second); a.status != http.StatusOK {
			cannotRun("the deployment does not serve")
		}
	}

	if trouble {
		moved := st.copyOf()
		newAddr, _ := moved.serve()
		record("the store moves from %s to %s", addr, newAddr)
		st = moved
		for _, n := range ns {
			n.store = newAddr
			n.writeSettings()
			n.signal(syscall.SIGHUP)
		}
		time.Sleep(5 * time.Second)
		record("the store no longer serves at %s", addr)
		stopStore()
	}
	time.Sleep(10 * time.Second)

	st.put("op", "config", configuration(9, old, route("r-proofs", "/proofs/", "safe", `,"timeout-ms":800`)))
	acked := time.Now()
	record("the store acknowledges version r9, which adds a route")
	const outer = 5 * time.Second // outer-ms, more than the rule allows for here
	time.Sleep(applyTime + outer)
	refused, asked := 0, 0
	next = ids("b")
	for time.Since(acked) < 25*time.Second {
		for _, n := range ns {
			asked++
			if a := ask(n.outbound, "GET", "/proofs/1/", next(), 5*time.Second); a.status == http.StatusNotFound {
				refused++
			}
		}
		time.Sleep(time.Second)
	}
	if trouble {
		record("for comparison: a node is stopped and started again, with the same settings file")
		ns[0].signal(syscall.SIGTERM)
		ns[0].wait(10 * time.Second)
		ns[0].start()
		ns[0].awaitReady(15 * time.Second)
		ask(ns[0].outbound, "GET", "/proofs/1/", "c0001", 5*time.Second)
	}
	if refused == 0 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: %d of %d requests on the new route, sent %v and more after the acknowledgement, were answered 404",
		refused, asked, applyTime+outer)}
}
