package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Doses and bounds of the case queued-drain; claim.txt quotes the pages.
const (
	slowFactor = 12
	slowFor    = 9 * time.Second
	drainLimit = 2500 * time.Millisecond // drain-ms
)

// queuedDrain: targets of a service turn slow, and one of them is emptied and
// taken away. It must get no request later than drain-ms after its node
// acknowledged that it is draining.
func queuedDrain(s *system, trouble bool) (*verdict, error) {
	const (
		perService = 5
		capacity   = 15
		rounds     = 6
		work       = 300 * time.Millisecond
		lead       = 400 * time.Millisecond // from the begin of slowness to the departure
	)
	var slow switcher
	newOne := func(n *node, id string, slowed bool) (*target, error) {
		return newTarget(s.rec, id, n, capacity, func(x *exchange) bool {
			if _, err := readAll(x); err != nil {
				return false
			}
			select {
			case x.t.slots <- struct{}{}:
				defer func() { <-x.t.slots }()
			default:
				return x.send(x.reject())
			}
			x.ran()
			d := work
			if slowed && slow.on() {
				d *= slowFactor
			}
			time.Sleep(d)
			return x.send(x.signed(200, "printed "+x.id))
		})
	}
	var targets []*target
	for i := range perService {
		n, err := s.addNode(fmt.Sprintf("auftrag-%d", i), "wien-"+string(rune('a'+i%2)), "auftrag")
		if err != nil {
			return nil, err
		}
		t, err := newOne(n, fmt.Sprintf("i-%d-0", i), i < 2)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	shop, err := s.addNode("katalog-0", "wien-a", "katalog")
	if err != nil {
		return nil, err
	}
	if err := s.configure(3, []route{{"print-order", "shop.example", "/order/", "unsafe", "auftrag", 6 * time.Second, 2}}, []string{"auftrag", "katalog"}); err != nil {
		return nil, err
	}
	if err := s.settled(); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)

	acks := map[string]time.Time{}
	begin := time.Now()
	var wg sync.WaitGroup
	done := make(chan struct{})
	c := newClient(s.rec, shop)
	wg.Go(func() {
		// As many orders as the targets can take.
		const perSecond = perService * capacity * int(time.Second/work)
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				wg.Go(func() { c.do("POST", "shop.example", "/order/1", strings.NewReader("two boards"), 6*time.Second) })
			}
		}
	})
	all := append([]*target(nil), targets...)
	for i := range rounds {
		time.Sleep(5 * time.Second)
		leaving := targets[i%2]
		if trouble {
			s.rec.add("disruption: 2 of 5 targets take %d times as long, for %v", slowFactor, slowFor)
			slow.v.Store(true)
		}
		time.Sleep(lead)
		acks[leaving.id] = leaving.drain()
		time.Sleep(slowFor - lead)
		slow.v.Store(false)
		if !leaving.call("instances.deregister", fmt.Sprintf(`{"born":%d}`, leaving.born)) {
			s.rec.add("%s: deregistration not acknowledged", leaving.id)
		}
		leaving.stop()
		t, err := newOne(leaving.node, fmt.Sprintf("i-%d-%d", i%2, i+1), true)
		if err != nil {
			return nil, err
		}
		targets[i%2] = t
		all = append(all, t)
	}
	close(done)
	wg.Wait()
	for _, t := range targets {
		t.stop()
	}
	v := &verdict{}
	total := 0
	for _, t := range all {
		ack, left := acks[t.id]
		t.mu.Lock()
		for id, rs := range t.runs {
			total += len(rs)
			for _, r := range rs {
				if left && r.at.Sub(ack) > drainLimit {
					v.add("DRAIN: order %s reached %s %v after the acknowledgement", id, t.id, r.at.Sub(ack).Round(time.Millisecond))
				}
			}
		}
		t.mu.Unlock()
	}
	v.facts = fmt.Sprintf("%d runs in %v; %d targets left", total, time.Since(begin).Round(time.Second), len(acks))
	return v, nil
}
