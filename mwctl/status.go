package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwadmin"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
)

// status is the command that shows the versions in force and the reachable
// availability zones.
type status struct {
	ByNode bool `long:"by-node" description:"show what each node reports, and not only a summary for each availability zone"`
}

// Limits of the requests to nodes.
const (
	maxStatusRequests = 16 // maximum number of concurrent requests
	statusTimeout     = 2 * time.Second
)

// statusReport is the output of status.
type statusReport struct {
	Zones []zoneSummary
	// Asked is the number of nodes asked; Silent are those that did not answer.
	Asked  int
	Silent []nodeStatus `json:",omitempty"`
	Nodes  []nodeStatus `json:",omitempty"`
}

// nodeStatus is the response of one node, or the error if there is none.
type nodeStatus struct {
	Admin  mwid.Address
	Status *mwadmin.Status `json:",omitempty"`
	Error  string          `json:",omitempty"`
}

// zoneSummary is the state of an availability zone as reported by several nodes.
type zoneSummary struct {
	Zone   mwid.ZoneName
	Region mwid.RegionName
	// Reports is the number of nodes that know the zone; Reaching is the number
	// of those that can reach it.
	Reports, Reaching int
	// Fewest and Most are the bounds of the number of its nodes.
	Fewest, Most int
	// Lowest and Highest are the bounds of the versions in force.
	Lowest, Highest mwid.Version
	// Unheard are the nodes from which at least one other node received nothing
	// recently.
	Unheard []mwid.NodeID `json:",omitempty"`
}

// run queries the nodes and prints a summary for each availability zone. No state
// is assumed for a node that does not answer.
func (v *status) run(e *env) error {
	all := askAll(e.ctx, e.global.Nodes)
	r := statusReport{Zones: summarize(all), Asked: len(all)}
	for _, n := range all {
		if n.Status == nil {
			r.Silent = append(r.Silent, n)
		}
	}
	if v.ByNode {
		r.Nodes = all
	}
	return e.print(r, r.table(v.ByNode))
}

// askAll returns the status of each node, in the order of as.
func askAll(ctx context.Context, as []mwid.Address) []nodeStatus {
	all := make([]nodeStatus, len(as))
	var wg sync.WaitGroup
	running := make(chan struct{}, maxStatusRequests)
	for i, a := range as {
		wg.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			all[i] = ask(ctx, a)
		})
	}
	wg.Wait()
	return all
}

// ask returns the status of the node at a.
func ask(ctx context.Context, a mwid.Address) nodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s, err := mwadmin.NewClient(a).Status(ctx)
	if err != nil {
		return nodeStatus{Admin: a, Error: err.Error()}
	}
	return nodeStatus{Admin: a, Status: &s}
}

// summarize returns the summaries of all availability zones that a node of all
// knows, in order of their names.
func summarize(all []nodeStatus) []zoneSummary {
	zones := make(map[mwid.ZoneName]*zoneSummary)
	for _, n := range all {
		if n.Status == nil {
			continue
		}
		for _, z := range n.Status.Zones {
			if zones[z.Zone] == nil {
				zones[z.Zone] = &zoneSummary{
					Zone: z.Zone, Region: z.Region, Fewest: z.Nodes, Lowest: z.Lowest,
				}
			}
			zones[z.Zone].add(z)
		}
	}
	out := make([]zoneSummary, 0, len(zones))
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		slices.Sort(zones[name].Unheard)
		out = append(out, *zones[name])
	}
	return out
}

// add adds the report z of one node.
func (s *zoneSummary) add(z mwkernel.ZoneStatus) {
	s.Reports++
	if z.Reachable {
		s.Reaching++
	}
	s.Fewest, s.Most = min(s.Fewest, z.Nodes), max(s.Most, z.Nodes)
	s.Lowest, s.Highest = min(s.Lowest, z.Lowest), max(s.Highest, z.Highest)
	for _, n := range z.Unheard {
		if !slices.Contains(s.Unheard, n) {
			s.Unheard = append(s.Unheard, n)
		}
	}
}

// table returns the rows of the report: one for each availability zone, or one
// for each node and zone, and one for each node that did not answer.
func (r statusReport) table(byNode bool) *table {
	if byNode {
		t := &table{head: []string{"SEEN BY", "ZONE", "REGION", "REACHABLE", "NODES", "VERSION", "UNHEARD"}}
		for _, n := range r.Nodes {
			n.rows(t)
		}
		return t
	}
	t := &table{head: []string{"ZONE", "REGION", "REACHED BY", "NODES", "VERSION", "UNHEARD"}}
	for _, z := range r.Zones {
		t.add(z.Zone, z.Region, fmt.Sprintf("%d of %d", z.Reaching, r.Asked), between(z.Fewest, z.Most),
			between(z.Lowest, z.Highest), len(z.Unheard))
	}
	for _, n := range r.Silent {
		t.add("?", "?", n.Admin+" did not answer", "?", "?", n.Error)
	}
	return t
}

// rows adds a row for each availability zone that the node knows, or one row
// with the error if the node did not answer.
func (n nodeStatus) rows(t *table) {
	if n.Status == nil {
		t.add(n.Admin, "?", "?", "no answer", "?", "?", n.Error)
		return
	}
	for _, z := range n.Status.Zones {
		t.add(n.Admin, z.Zone, z.Region, z.Reachable, z.Nodes, between(z.Lowest, z.Highest), len(z.Unheard))
	}
}

// between formats the range from lowest to highest.
func between[T int | mwid.Version](lowest, highest T) string {
	if lowest == highest {
		return fmt.Sprint(lowest)
	}
	return fmt.Sprintf("%d to %d", lowest, highest)
}
