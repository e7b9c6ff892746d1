package mwkernel

import (
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
)

// departure is the leave of a backend server. It is kept for withdrawnRetention, also
// if this process did not know the backend server, so that an announcement that was
// sent before the leave doesn't bring the backend server back.
type departure struct {
	started time.Time // zero if the leave names no start time
	at      time.Time
}

// covers reports whether a may have been sent before d: its backend server started
// no later than the one that left or, if the start time of that is not known, no
// health check that began after the leave found it healthy.
func (d departure) covers(a mwcall.Announcement) bool {
	if d.started.IsZero() {
		return !a.Checked.After(d.at)
	}
	return !a.Started.After(d.started)
}

// depart records the leave of id. If an earlier start leaves again, the leave of the
// later one stays.
func (b *backends) depart(id mwid.InstanceID, started time.Time) {
	b.departed.Update(id, func(old departure, ok bool) (departure, bool) {
		if ok && !started.IsZero() && old.started.After(started) {
			return old, true
		}
		return departure{started, time.Now()}, true
	})
}

// hasLeft reports whether the backend server of a has left. If it hasn't, the
// departures of its earlier starts are no longer of use and are deleted.
func (b *backends) hasLeft(a mwcall.Announcement) bool {
	left := false
	b.departed.Update(a.Instance, func(d departure, ok bool) (departure, bool) {
		left = ok && d.covers(a)
		return d, left
	})
	return left
}
