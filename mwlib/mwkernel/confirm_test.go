package mwkernel_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwkernel"
)

// A process that has just started must not take an announcement from before a leave
// for a new one, whether or not it received the leave. Nor may it keep a running backend
// server out of use for long because its health can't be checked.
func TestLateAnnouncements(t *testing.T) {
	const (
		good, leaving = mwkernel.HealthGood, mwkernel.HealthLeaving
		gone, unknown = mwkernel.HealthGone, mwkernel.HealthUnknown
		soon, past    = 9 * time.Second, 11 * time.Second // before and after the longest delay
	)
	now := time.Now()
	unnamed, earlier, later := time.Time{}, now.Add(-time.Second), now.Add(time.Second)
	known := []time.Time{now}
	leave := func(started time.Time) []time.Time { return []time.Time{started} }
	for _, test := range []struct {
		name    string
		known   []time.Time // start of a backend server that the process knows, if any
		leave   []time.Time // start that a leave names, if there is one
		wait    time.Duration
		started time.Time // start of the announced backend server
		health  mwkernel.Health
		code    mwcode.Code
		serves  bool
	}{
		{"good", nil, nil, 0, now, good, mwcode.OK, true},
		{"leaving", nil, nil, 0, now, leaving, mwcode.OK, false},
		{"leaving, old process", nil, nil, past, now, leaving, mwcode.OK, false},
		{"gone", nil, nil, 0, now, gone, mwcode.OK, false},
		{"gone, old process", nil, nil, past, now, gone, mwcode.OK, false},
		{"unknown", nil, nil, soon, now, unknown, mwcode.Unconfirmed, false},
		{"unknown, old process", nil, nil, past, now, unknown, mwcode.OK, true},
		{"known left, same start", known, leave(unnamed), 0, now, good, mwcode.OK, false},
		{"known left, later start", known, leave(unnamed), 0, later, good, mwcode.OK, true},
		{"an earlier start left", known, leave(earlier), 0, now, good, mwcode.OK, true},
		{"unknown left, same start", nil, leave(now), 0, now, good, mwcode.OK, false},
		{"unknown left, earlier start", nil, leave(now), 0, earlier, good, mwcode.OK, false},
		{"unknown left, later start", nil, leave(now), 0, later, good, mwcode.OK, true},
		{"unnamed start left, good", nil, leave(unnamed), time.Second, now, good, mwcode.OK, true},
		{"unnamed start left, leaving", nil, leave(unnamed), past, now, leaving, mwcode.OK, false},
		{"unnamed start left, unknown", nil, leave(unnamed), past, now, unknown, mwcode.OK, false},
		{"unnamed start left, later", nil, leave(unnamed), 2 * time.Minute, now, unknown, mwcode.OK, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newCluster(c, replies(reply{})).add("", nil)
				check := func(context.Context, mwcall.Announcement) mwkernel.Health { return test.health }
				a := announcement("s")
				a.Instance = "i"
				for _, a.Started = range test.known {
					c.Check(n.AnnounceChecked(t.Context(), a, check), qt.IsNil)
				}
				for _, started := range test.leave {
					n.WithdrawInstance("i", started)
				}
				time.Sleep(test.wait)
				a.Started, a.Seq = test.started, 1
				err := n.AnnounceChecked(t.Context(), a, check)
				c.Check(mwcode.CodeOf(err), qt.Equals, test.code)
				as := n.Announced()
				c.Check(len(as) == 1 && !as[0].Leaving, qt.Equals, test.serves)
				if test.serves { // A backend server that is in use isn't checked again.
					a.Seq++
					c.Check(n.AnnounceChecked(t.Context(), a, nil), qt.IsNil)
				}
			})
		})
	}
}
