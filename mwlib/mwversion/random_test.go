package mwversion_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoperator"
)

// action is one step of a random schedule. It has the name of the action, its
// parameter n, and how long to wait afterwards.
type action struct {
	what string
	n    int
	wait time.Duration
}

// actions maps the name of an action to its function.
var actions = map[string]func(s *schedule, n int){
	"apply": func(s *schedule, n int) { s.apply(n) },
	"cut": func(s *schedule, n int) {
		s.cl.Net.SetLoss(mwcluster.Partition(true, mwcluster.InZone(mwcluster.PlaceOf(n%zones, 0).Zone)))
	},
	"heal":        func(s *schedule, _ int) { s.cl.Net.SetLoss(nil) },
	"unavailable": func(s *schedule, _ int) { s.cl.Store.SetFaults(unavailable) },
	"stale":       func(s *schedule, _ int) { s.cl.Store.SetFaults(mwfakestore.Faults{Stale: 0.5}) },
	"lossy":       func(s *schedule, _ int) { s.cl.Store.SetFaults(mwfakestore.Faults{Lost: 0.3, Dropped: 0.3}) },
	"available":   func(s *schedule, _ int) { s.cl.Store.SetFaults(mwfakestore.Faults{}) },
	"replace":     func(s *schedule, n int) { s.replace(n) },
}

// Size of the clusters under random schedules.
const (
	zones   = 3
	perZone = 2
)

// genActions returns a generator of the actions of a schedule.
func genActions() *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			what: rapid.SampledFrom([]string{
				"apply", "apply", "apply", "cut", "heal", "unavailable", "stale", "lossy", "available", "available", "replace",
			}).Draw(t, "what"),
			n:    rapid.IntRange(0, 99).Draw(t, "n"),
			wait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 20)
}

// viewer returns the version in force at a node.
type viewer interface{ Version() mwid.Version }

// schedule runs actions on a cluster and checks that the version in force never
// falls at any node and that every accepted version is in force in the end.
type schedule struct {
	cl       *cluster
	view     func(*mwcluster.Node) viewer
	seen     map[*mwcluster.Node]mwid.Version
	accepted mwid.Version
	err      error
}

func (s *schedule) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// apply applies a policy as an operator; it may fail while the store is
// unavailable.
func (s *schedule) apply(n int) {
	name := mwconfig.DocumentName(fmt.Sprint("p", n%3))
	e := mwoperator.Edit{Document: policy(name, n)}
	ctx := s.cl.t.Context()
	if d, err := s.cl.op.Get(ctx, mwconfig.KindPolicy, name); err == nil {
		e.Expected = d.Revision
	}
	r, err := s.cl.op.Apply(ctx, mwid.NewOperationID(), "eva", []mwoperator.Edit{e})
	if err != nil {
		return
	}
	if r.Version <= s.accepted {
		s.fail("version %d was accepted after %d", r.Version, s.accepted)
	}
	s.accepted = r.Version
}

// replace replaces the VM of a node.
func (s *schedule) replace(n int) {
	x := s.cl.Nodes()[n%len(s.cl.Nodes())]
	mwcluster.Crash(x)
	delete(s.seen, x)
	s.cl.start(x.Place)
}

// watch checks the versions of all nodes every checkPeriod for d.
func (s *schedule) watch(d time.Duration) {
	for end := time.Now().Add(d); !time.Now().After(end); time.Sleep(checkPeriod) {
		for _, n := range s.cl.Nodes() {
			v := s.view(n).Version()
			if v < s.seen[n] {
				s.fail("version %d after %d at %s", v, s.seen[n], n.ID)
			}
			s.seen[n] = v
		}
	}
}

// run executes steps, removes all faults and checks that the last accepted
// version is in force at all nodes within propagationLimit.
func (s *schedule) run(steps []action) error {
	for _, a := range steps {
		actions[a.what](s, a.n)
		s.watch(a.wait)
	}
	s.cl.Net.SetLoss(nil)
	s.cl.Store.SetFaults(mwfakestore.Faults{})
	s.watch(propagationLimit)
	for _, n := range s.cl.Nodes() {
		if v := s.view(n).Version(); v < s.accepted {
			s.fail("version %d in force instead of %d at %s, %v after the last fault", v, s.accepted, n.ID, propagationLimit)
		}
	}
	return s.err
}

// runActions executes steps in virtual time on a new cluster and reads the
// versions of nodes through view.
func runActions(t *testing.T, steps []action, view func(*mwcluster.Node) viewer) (err error) {
	synctest.Test(t, func(t *testing.T) {
		x, stop := mwcluster.New()
		defer stop()
		cl := &cluster{x, t, qt.New(t), mwoperator.New(x.Store)}
		for i := range zones * perZone {
			cl.start(mwcluster.PlaceOf(i%zones, i/zones))
		}
		s := &schedule{cl: cl, view: view, seen: make(map[*mwcluster.Node]mwid.Version)}
		s.watch(2 * time.Second)
		err = s.run(steps)
	})
	return err
}

func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := genActions().Draw(rt, "acts")
		if err := runActions(t, steps, func(n *mwcluster.Node) viewer { return n }); err != nil {
			rt.Fatal(err)
		}
	})
}

// tableViewer is a faulty viewer: it returns whatever version the table shows,
// even if that is lower than before.
type tableViewer struct {
	t    *testing.T
	op   *mwoperator.Operator
	last mwid.Version
}

// Version returns the version that the table shows or, if it can't be read,
// the last one that was read.
func (b *tableViewer) Version() mwid.Version {
	if v, err := b.op.Version(b.t.Context()); err == nil {
		b.last = v
	}
	return b.last
}

// TestRandomSchedulesFindAFault checks that a schedule detects a node that
// accepts lower versions, and a node that accepts none.
func TestRandomSchedulesFindAFault(t *testing.T) {
	tests := []struct {
		name string
		view func(t *testing.T, n *mwcluster.Node) viewer
		want string
	}{{
		name: "accepts lower versions",
		view: func(t *testing.T, n *mwcluster.Node) viewer {
			return &tableViewer{t: t, op: mwoperator.New(n.Cluster().Store)}
		},
		want: "version . after .*",
	}, {
		name: "accepts no versions",
		view: func(*testing.T, *mwcluster.Node) viewer { return stuckViewer{} },
		want: "version 0 in force instead of .*",
	}}
	steps := []action{
		{"apply", 1, time.Second}, {"apply", 2, time.Second}, {"stale", 0, 3 * time.Second}, {"available", 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			views := make(map[*mwcluster.Node]viewer)
			err := runActions(t, steps, func(n *mwcluster.Node) viewer {
				if views[n] == nil {
					views[n] = test.view(t, n)
				}
				return views[n]
			})
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

// stuckViewer is a faulty viewer: its version stays 0.
type stuckViewer struct{}

func (stuckViewer) Version() mwid.Version { return 0 }
