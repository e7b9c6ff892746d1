package mwkernel_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
)

// delays of announcements: atMost is the longest, past is after it.
const (
	atMost = 9 * time.Second
	past   = 11 * time.Second
)

// A process that knows nothing of the backend server must not take an announcement
// from before a leave for a new one. Nor may it keep a running backend server out of use
// for long because its health can't be checked.
func TestAnnounceChecked(t *testing.T) {
	for _, test := range []struct {
		name   string
		age    time.Duration // of the process
		health mwkernel.Health
		code   mwcode.Code
		serves bool
	}{
		{"good", 0, mwkernel.HealthGood, mwcode.OK, true},
		{"leaving", 0, mwkernel.HealthLeaving, mwcode.OK, false},
		{"leaving, old process", past, mwkernel.HealthLeaving, mwcode.OK, false},
		{"gone", 0, mwkernel.HealthGone, mwcode.OK, false},
		{"gone, old process", past, mwkernel.HealthGone, mwcode.OK, false},
		{"unknown", atMost, mwkernel.HealthUnknown, mwcode.Unconfirmed, false},
		{"unknown, old process", past, mwkernel.HealthUnknown, mwcode.OK, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newCluster(c, replies(good)).add("", nil)
				time.Sleep(test.age)
				checks := 0
				check := func(context.Context, mwcall.Announcement) mwkernel.Health {
					checks++
					return test.health
				}
				a := ordered("i", 1)
				c.Check(mwcode.CodeOf(n.AnnounceChecked(t.Context(), a, check)), qt.Equals, test.code)
				c.Check(serves(n.Kernel, "i"), qt.Equals, test.serves)
				c.Check(checks, qt.Equals, 1)
				if !test.serves {
					return
				}
				a.Seq++ // A backend server that is in use isn't checked again.
				c.Check(n.AnnounceChecked(t.Context(), a, check), qt.IsNil)
				c.Check(checks, qt.Equals, 1)
			})
		})
	}
}

// A leave holds for announcements that were sent before it, whether or not the process
// knew the backend server, and not for those of a later start.
func TestAnnouncementsAfterALeave(t *testing.T) {
	started := time.Now()
	for _, test := range []struct {
		name   string
		known  bool
		leave  time.Time // start time that the leave names, if any
		wait   time.Duration
		start  time.Duration // start of the next announcement, after started
		health mwkernel.Health
		serves bool
	}{
		{"known, same start", true, time.Time{}, 0, 0, mwkernel.HealthGood, false},
		{"known, later start", true, time.Time{}, 0, time.Second, mwkernel.HealthGood, true},
		{"known, leave of an earlier start", true, started.Add(-time.Second), 0, 0, mwkernel.HealthGood, true},
		{"not known, same start", false, started, 0, 0, mwkernel.HealthGood, false},
		{"not known, later start", false, started, 0, time.Second, mwkernel.HealthGood, true},
		{"not known, no start, healthy", false, time.Time{}, time.Second, 0, mwkernel.HealthGood, true},
		{"not known, no start, leaving", false, time.Time{}, past, 0, mwkernel.HealthLeaving, false},
		{"not known, no start, silent", false, time.Time{}, past, 0, mwkernel.HealthUnknown, false},
		{"not known, no start, two minutes later", false, time.Time{}, 2 * time.Minute, 0, mwkernel.HealthUnknown, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newCluster(c, replies(good)).add("", nil)
				check := func(context.Context, mwcall.Announcement) mwkernel.Health { return test.health }
				a := ordered("i", 1)
				a.Started = started
				if test.known {
					c.Check(n.AnnounceChecked(t.Context(), a, check), qt.IsNil)
				}
				n.WithdrawInstance("i", test.leave)
				time.Sleep(test.wait)
				a.Started, a.Seq = started.Add(test.start), 2
				c.Check(n.AnnounceChecked(t.Context(), a, check), qt.IsNil)
				c.Check(serves(n.Kernel, "i"), qt.Equals, test.serves)
			})
		})
	}
}

// ordered returns announcement seq of instance id.
func ordered(id mwid.InstanceID, seq uint64) mwcall.Announcement {
	a := announcement("s")
	a.Instance, a.Seq, a.Started = id, seq, time.Now()
	return a
}

// serves reports whether k sends calls to instance id.
func serves(k *mwkernel.Kernel, id mwid.InstanceID) bool {
	for _, a := range k.Announced() {
		if a.Instance == id && !a.Leaving {
			return true
		}
	}
	return false
}
