package mwslope_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwslope"
)

// sizes are the numbers of nodes to measure.
var sizes = []int{8, 32, 128, 512}

func BenchmarkControl(b *testing.B) {
	loads := []struct {
		name string
		opts []mwslope.Option
	}{
		{"rest", []mwslope.Option{mwslope.WithChanges(0)}},
		{"changes", nil},
		{"restarts", []mwslope.Option{mwslope.WithChanges(0), mwslope.WithRestarts(2 * time.Second)}},
		{"zones", []mwslope.Option{mwslope.WithZones(13)}},
	}
	for _, load := range loads {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("%s/nodes=%d", load.name, n), func(b *testing.B) {
				for b.Loop() {
					r, err := mwslope.Run(b.Context(), n, load.opts...)
					if err != nil {
						b.Fatal(err)
					}
					report(b, r)
				}
			})
		}
	}
}

func report(b *testing.B, r mwslope.Report) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*float64(r.Core), "%core")
	b.ReportMetric(float64(r.Memory)/1024, "KB-heap")
	b.ReportMetric(float64(r.Joined.Milliseconds()), "ms-join")
	if len(r.Changes) > 0 {
		b.ReportMetric(float64(slices.Max(r.Changes).Milliseconds()), "ms-change-max")
	}
	if len(r.Leavers) > 0 {
		b.ReportMetric(float64(slices.Max(r.Leavers).Milliseconds()), "ms-leaver-max")
	}
	for _, role := range r.Roles {
		b.ReportMetric(float64(role.Sent), "B/s-"+string(role.Role))
		b.ReportMetric(float64(role.Wire), "B/s-wire-"+string(role.Role))
		for _, k := range role.Kinds {
			if k.Sent > 0 {
				b.Logf("%v %v: calls %.2f/s served %.2f/s sent %.0f B/s received %.0f B/s",
					role.Role, k.Method, k.Calls, k.Served, k.Sent, k.Received)
			}
		}
	}
}

func TestRun(t *testing.T) {
	c := qt.New(t)
	r, err := mwslope.Run(t.Context(), 6, mwslope.WithMeasure(time.Second), mwslope.WithDocuments(4))
	c.Assert(err, qt.IsNil)
	c.Assert(len(r.Changes) > 0, qt.IsTrue)
	c.Assert(r.Memory > 0, qt.IsTrue)
	c.Assert(r.Roles, qt.HasLen, 2)
}
