package mwplan_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwsoak/internal/mwplan"
)

func TestPlan(t *testing.T) {
	c := qt.New(t)
	kinds := []mwplan.Kind{"kill", "pause", "reset"}
	seen := make(map[mwplan.Kind]bool)
	details := make(map[uint64]bool)
	for seed := range mwplan.Seed(50) {
		p := mwplan.New(seed, kinds, 3, 4, 12*time.Second)
		c.Assert(p, qt.DeepEquals, mwplan.New(seed, kinds, 3, 4, 12*time.Second))
		c.Check(len(p.Events) >= 10, qt.IsTrue)
		at := time.Duration(0)
		for _, e := range p.Events {
			seen[e.Kind] = true
			c.Check(details[e.Seed], qt.IsFalse)
			details[e.Seed] = true
			c.Check(e.At >= at && e.At >= time.Second, qt.IsTrue)
			c.Check(e.For > 0 && e.Node < 3 && e.Link < 4, qt.IsTrue)
			at = e.At
		}
	}
	c.Check(seen, qt.HasLen, len(kinds))
}
