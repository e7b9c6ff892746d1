package main

import "mustardwheel.example/mwlib/mwadmin"

// drain is the command that drains nodes.
type drain struct{}

// run starts the drain of each node, and does not wait for its end.
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
