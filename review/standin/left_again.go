package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// leftAgain: a target leaves, its node is killed right after the
// acknowledgement, the store doesn't answer, and a liveness report from before
// the departure arrives late, at the new process of the node.
func leftAgain(s *system, trouble bool) (*verdict, error) {
	const (
		storeDown = 4500 * time.Millisecond
		before    = 500 * time.Millisecond // from the begin of the outage to the departure
		restart   = 500 * time.Millisecond
		late      = time.Second             // from the restart to the arrival of the report
		serves    = 10 * time.Second        // how long the target serves after the acknowledgement
		inTouch   = 7200 * time.Millisecond // contact-ms after the outage's end all machines are in touch
	)
	var targets []*target
	for i, p := range []struct{ s, z string }{{"auftrag", "wien-a"}, {"auftrag", "wien-b"}, {"katalog", "wien-a"}, {"katalog", "wien-b"}} {
		n, err := s.addNode(fmt.Sprintf("%s-%d", p.s, i), p.z, p.s)
		if err != nil {
			return nil, err
		}
		t, err := newTarget(s.rec, fmt.Sprintf("i-%d", i), n, 109, func(x *exchange) bool {
			if _, err := readAll(x); err != nil {
				return false
			}
			x.ran()
			time.Sleep(20 * time.Millisecond)
			return x.send(x.signed(200, "ok"))
		})
		if err != nil {
			return nil, err
		}
		defer t.stop()
		targets = append(targets, t)
	}
	if err := s.configure(3, []route{{"print-order", "shop.example", "/order/", "unsafe", "auftrag", 5 * time.Second, 2}}, []string{"auftrag", "katalog"}); err != nil {
		return nil, err
	}
	if err := s.settled(); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range s.nodes[2:] {
		c := newClient(s.rec, n)
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
					wg.Go(func() { c.do("POST", "shop.example", "/order/1", strings.NewReader("x"), 5*time.Second) })
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	t, n := targets[0], s.nodes[0]
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":109},"status":{"state":"ready","seq":%d,"warmup-left-ms":0}}`,
		t.ln.Addr(), t.born, t.service, n.zone, t.seq.Add(1))
	if trouble {
		s.rec.add("disruption: the store doesn't answer, for %v", storeDown)
		if err := s.silence(true); err != nil {
			return nil, err
		}
	}
	time.Sleep(before)
	t.noBeats.Store(true)
	t.state.Store("leaving")
	if !t.call("instances.deregister", fmt.Sprintf(`{"born":%d}`, t.born)) {
		return nil, fmt.Errorf("deregistration not acknowledged")
	}
	ack := time.Now()
	s.rec.add("%s: deregistration acknowledged", t.id)
	if trouble {
		time.Sleep(100 * time.Millisecond)
		for _, x := range s.nodes {
			if err := x.cmd.Process.Kill(); err != nil {
				return nil, err
			}
		}
		s.rec.add("disruption: all nodes are killed")
		time.Sleep(restart)
		for _, x := range s.nodes {
			if err := s.run(x); err != nil {
				return nil, err
			}
		}
		if err := waitFor(5*time.Second, n.listens); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(restart)
	}
	time.Sleep(late)
	s.rec.add("%s: a liveness report from before the departure arrives, acknowledged: %v", t.id, t.call("instances.heartbeat", body))
	time.Sleep(time.Until(ack.Add(storeDown - before)))
	if err := s.silence(false); err != nil {
		return nil, err
	}
	s.rec.add("disruption: the store answers again")
	time.Sleep(time.Until(ack.Add(serves)))
	t.stop()
	close(done)
	wg.Wait()
	v := &verdict{}
	total, early := 0, 0
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, rs := range t.runs {
		for _, r := range rs {
			total++
			d := r.at.Sub(ack).Round(time.Millisecond)
			switch {
			case d > inTouch || d > drainLimit && !trouble:
				v.add("DRAIN: order %s reached %s %v after the acknowledgement", id, t.id, d)
			case d > drainLimit:
				early++
			}
		}
	}
	v.facts = fmt.Sprintf("%d runs at %s; %d more than %v after the acknowledgement, but less than %v after the outage", total, t.id, early, drainLimit, contact)
	return v, nil
}
