package main

import (
	"mustardwheel.example/mwlib/mwid"
)

// targets is the command that lists targets.
type targets struct {
	Service mwid.ServiceName `long:"service" description:"only targets of this service"`
}

// run prints the targets that the first node knows.
func (v *targets) run(e *env) error {
	ts, err := e.global.node().Targets(e.ctx, v.Service)
	if err != nil {
		return err
	}
	t := &table{head: []string{"SERVICE", "ZONE", "REGION", "NODE", "STATE", "SLOTS", "CONNECTIONS"}}
	for _, x := range ts {
		t.add(x.Service, x.Zone, x.Region, x.Node, x.State, x.Slots, x.Connections)
	}
	return e.print(ts, t)
}
