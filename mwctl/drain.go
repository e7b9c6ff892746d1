package main

import "mustardwheel.example/mwlib/mwadmin"

// drain is the verb that drains nodes.
type drain struct{}

// run tells each node to drain; the answer means that it has begun.
func (*drain) run(e *env) error {
	t := &table{head: []string{"ADMIN", "STATE"}}
	for _, a := range e.global.Nodes {
		if err := mwadmin.NewClient(a).Drain(e.ctx); err != nil {
			return err
		}
		t.add(a, "draining")
	}
	return e.print(e.global.Nodes, t)
}
