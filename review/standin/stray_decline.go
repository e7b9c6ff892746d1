package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Doses of the case stray-decline; claim.txt quotes the pages.
const (
	shedShare  = 0.55
	shedFor    = 8500 * time.Millisecond
	extraShare = 0.03
	extraFor   = 5 * time.Second
)

// strayDecline: targets decline a part of their requests, and one of them sends
// a second copy of some answers, late. Orders must still run once at most.
func strayDecline(s *system, trouble bool) (*verdict, error) {
	const services, perService, length = 3, 2, 60 * time.Second
	var targets []*target
	var shedding, extra switcher
	var routes []route
	var names []string
	for i := range services {
		name := fmt.Sprintf("auftrag%d", i)
		names = append(names, name)
		routes = append(routes, route{name, "shop.example", "/order" + fmt.Sprint(i) + "/", "unsafe", name, 5 * time.Second, 2})
		for j := range perService {
			n, err := s.addNode(fmt.Sprintf("%s-%d", name, j), "wien-"+string(rune('a'+j)), name)
			if err != nil {
				return nil, err
			}
			faulty := j == 0 // one of two targets: a share of at most 0.6
			t, err := newTarget(s.rec, fmt.Sprintf("i-%d%d", i, j), n, 109, func(x *exchange) bool {
				return serveOrder(x, &shedding, &extra, faulty)
			})
			if err != nil {
				return nil, err
			}
			defer t.stop()
			targets = append(targets, t)
		}
	}
	if err := s.configure(3, routes, names); err != nil {
		return nil, err
	}
	if err := s.settled(); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	end := time.Now().Add(length)
	if trouble {
		go shedding.repeat(s.rec, "targets decline a part", shedFor, 500*time.Millisecond, end)
		go extra.repeat(s.rec, "second answers", extraFor, 100*time.Millisecond, end)
	}
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for i := range services {
		wg.Go(func() {
			// The clients are on a machine of another service.
			c := newClient(s.rec, s.nodes[((i+1)%services)*perService])
			for time.Now().Before(end) {
				r := c.do("POST", "shop.example", fmt.Sprintf("/order%d/1", i), strings.NewReader("two boards"), 5*time.Second)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	return judgeOrders(results, targets), nil
}

// serveOrder answers one order. A second answer is sent where the next one is
// expected.
func serveOrder(x *exchange, shedding, extra *switcher, faulty bool) bool {
	if *x.pending != "" {
		x.t.rec.add("%s: second copy of its last answer, before that to %s", x.t.id, x.id)
		late := *x.pending
		*x.pending = ""
		if !x.send(late) {
			return false
		}
	}
	if _, err := readAll(x); err != nil {
		return false
	}
	var a string
	if shedding.on() && rand.Float64() < shedShare {
		a = x.reject()
	} else {
		x.ran()
		time.Sleep(5 * time.Millisecond)
		a = x.signed(200, "printed "+x.id)
	}
	if faulty && extra.on() && rand.Float64() < extraShare {
		*x.pending = a
	}
	return x.send(a)
}

// judgeOrders checks TWICE and REFUSED.
func judgeOrders(results []result, targets []*target) *verdict {
	v := &verdict{}
	runs := map[string][]run{}
	for _, t := range targets {
		t.mu.Lock()
		for id, rs := range t.runs {
			runs[id] = append(runs[id], rs...)
		}
		t.mu.Unlock()
	}
	count := map[int]int{}
	for _, r := range results {
		count[r.status]++
		rs := runs[r.id]
		if len(rs) > 1 {
			v.add("TWICE: order %s ran %d times, first at %s and then at %s", r.id, len(rs), rs[0].target, rs[1].target)
		}
		if r.refused() && len(rs) > 0 {
			v.add("REFUSED: order %s was answered %d and ran at %s", r.id, r.status, rs[0].target)
		}
	}
	v.facts = fmt.Sprintf("%d orders; by status: %v", len(results), count)
	return v
}
