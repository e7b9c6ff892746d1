package main

import (
	"fmt"
	"strings"

	"mustardwheel.example/mwlib/mwadmin"
	"mustardwheel.example/mwlib/mwid"
)

// status is the command that shows the versions in force and the reachable
// availability zones.
type status struct{}

// nodeStatus is the response of one node, or the error if there is none.
type nodeStatus struct {
	Admin  mwid.Address
	Status *mwadmin.Status `json:",omitempty"`
	Error  string          `json:",omitempty"`
}

// run queries each node and prints its view. A node that does not answer is
// listed with its error, and no state is assumed for it.
func (*status) run(e *env) error {
	var all []nodeStatus
	for _, a := range e.global.Nodes {
		n := nodeStatus{Admin: a}
		s, err := mwadmin.NewClient(a).Status(e.ctx)
		if err != nil {
			n.Error = err.Error()
		} else {
			n.Status = &s
		}
		all = append(all, n)
	}
	t := &table{head: []string{"SEEN BY", "ZONE", "REGION", "REACHABLE", "NODES", "VERSION", "UNHEARD"}}
	for _, n := range all {
		n.rows(t)
	}
	return e.print(all, t)
}

// rows adds a row for each availability zone that the node knows, or one row
// with the error if the node did not answer.
func (n nodeStatus) rows(t *table) {
	if n.Status == nil {
		t.add(n.Admin, "?", "?", "no answer", "?", "?", n.Error)
		return
	}
	for _, z := range n.Status.Zones {
		t.add(n.Admin, z.Zone, z.Region, z.Reachable, z.Nodes, versions(z.Lowest, z.Highest), unheard(z.Unheard))
	}
}

// versions formats the versions in force in one availability zone.
func versions(lowest, highest mwid.Version) string {
	if lowest == highest {
		return fmt.Sprint(lowest)
	}
	return fmt.Sprintf("%d to %d", lowest, highest)
}

func unheard(ns []mwid.NodeID) string {
	if len(ns) == 0 {
		return "-"
	}
	ss := make([]string, len(ns))
	for i, n := range ns {
		ss[i] = string(n)
	}
	return strings.Join(ss, ",")
}
