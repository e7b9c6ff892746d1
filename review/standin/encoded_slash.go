package main

import (
	"fmt"
	"time"
)

// encodedSlash: the operator adds a route with a longer prefix. Requests whose
// path has an encoded slash where the longer prefix has a slash don't begin with
// it, and must go on to the service of the shorter one.
func encodedSlash(s *system, trouble bool) (*verdict, error) {
	const requests = 40
	for i, service := range []string{"auftrag", "katalog"} {
		n, err := s.addNode(fmt.Sprintf("%s-%d", service, i), "wien-"+string(rune('a'+i)), service)
		if err != nil {
			return nil, err
		}
		t, err := newTarget(s.rec, "i-"+service, n, 109, func(x *exchange) bool {
			if _, err := readAll(x); err != nil {
				return false
			}
			x.ran()
			x.t.rec.add("%s: path %s", x.t.id, x.req.RequestURI)
			return x.send(x.signed(200, x.t.service))
		})
		if err != nil {
			return nil, err
		}
		defer t.stop()
	}
	services := []string{"auftrag", "katalog"}
	routes := []route{{"print-order", "shop.example", "/order/", "unsafe", "auftrag", 5 * time.Second, 2}}
	if err := s.configure(3, routes, services); err != nil {
		return nil, err
	}
	if err := s.settled(); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		routes = append(routes, route{"templates", "shop.example", "/order/templates/", "safe", "katalog", 5 * time.Second, 2})
	}
	if err := s.configure(7, routes, services); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	v := &verdict{}
	c := newClient(s.rec, s.nodes[1])
	count := map[string]int{}
	for i := range requests {
		r := c.do("POST", "shop.example", fmt.Sprintf("/order/templates%%2F%d", i), nil, 5*time.Second)
		count[fmt.Sprintf("%d %s", r.status, r.body)]++
		if r.status == 200 && r.body != "auftrag" {
			v.add("ROUTE: the request %s for /order/templates%%2F%d was run by %s", r.id, i, r.body)
		}
	}
	v.facts = fmt.Sprintf("%d requests, by status and service: %v", requests, count)
	return v, nil
}
