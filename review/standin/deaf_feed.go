package main

import (
	"fmt"
	"time"
)

// Bounds and doses of the case deaf-feed; claim.txt quotes the pages.
const (
	storeDownFor = 4500 * time.Millisecond
	applyLimit   = 2500 * time.Millisecond // config-apply-ms
	contact      = 3 * time.Second         // contact-ms
)

// deafFeed: the store doesn't answer for some seconds. Later, when it has been
// stable for long, a desired state is changed. It must be in force at all nodes
// within config-apply-ms of the store's acknowledgement.
func deafFeed(s *system, trouble bool) (*verdict, error) {
	type place struct{ service, zone string }
	places := []place{{"auftrag", "wien-a"}, {"auftrag", "wien-b"}, {"katalog", "wien-a"}, {"katalog", "wien-b"}}
	for i, p := range places {
		n, err := s.addNode(fmt.Sprintf("%s-%d", p.service, i), p.zone, p.service)
		if err != nil {
			return nil, err
		}
		t, err := newTarget(s.rec, fmt.Sprintf("i-%d", i), n, 109, func(x *exchange) bool {
			if _, err := readAll(x); err != nil {
				return false
			}
			x.ran()
			time.Sleep(20 * time.Millisecond)
			return x.send(x.signed(200, x.t.service))
		})
		if err != nil {
			return nil, err
		}
		defer t.stop()
	}
	routes := func(service string) []route {
		return []route{{"catalog-browse", "shop.example", "/templates/", "safe", service, 5 * time.Second, 2}}
	}
	services := []string{"auftrag", "katalog"}
	begin := time.Now()
	if err := s.configure(3, routes("katalog"), services); err != nil {
		return nil, err
	}
	if err := s.settled(); err != nil {
		return nil, err
	}
	// The first requests for changes end 20 s after the nodes sent them.
	time.Sleep(time.Until(begin.Add(20 * time.Second)))
	if trouble {
		s.rec.add("disruption: the store doesn't answer, for %v", storeDownFor)
		if err := s.silence(true); err != nil {
			return nil, err
		}
	}
	time.Sleep(storeDownFor)
	if trouble {
		if err := s.silence(false); err != nil {
			return nil, err
		}
		s.rec.add("disruption: ended")
	}
	time.Sleep(contact + 500*time.Millisecond)
	v := &verdict{}
	if err := s.configure(7, routes("auftrag"), services); err != nil {
		return nil, err
	}
	acked := time.Now()
	last := make([]time.Duration, len(s.nodes))
	late := make([]int, len(s.nodes))
	asked := 0
	for time.Since(acked) < 20*time.Second {
		for i, n := range s.nodes {
			at := time.Since(acked)
			r := newClient(s.rec, n).do("GET", "shop.example", "/templates/1", nil, 5*time.Second)
			asked++
			if r.status == 200 && r.body == "katalog" {
				last[i] = at
				if at > applyLimit {
					late[i]++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i, n := range s.nodes {
		if late[i] > 0 {
			v.add("CONFIG: %s let the old service run %d requests that were sent later than %v after the acknowledgement, the last one %v after it", n.name, late[i], applyLimit, last[i].Round(time.Millisecond))
		}
	}
	v.facts = fmt.Sprintf("%d requests; last request run by the old service, after the acknowledgement: %v", asked, last)
	return v, nil
}
