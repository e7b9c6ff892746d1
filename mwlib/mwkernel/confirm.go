package mwkernel

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
)

// Health is the result of a health check of a backend server.
type Health string

// Results of health checks.
const (
	HealthGood    Health = "Good"
	HealthLeaving Health = "Leaving"
	// HealthGone means that another instance, or none, serves at the address.
	HealthGone Health = "Gone"
	// HealthUnknown means that the backend server did not respond in time or has
	// no free slot for the check, that its response is malformed, or that its
	// health path is not known, as it is while the node has no configuration.
	HealthUnknown Health = "Unknown"
)

// HealthCheck checks the health of the backend server that a announces. The front
// end implements it.
type HealthCheck func(ctx context.Context, a mwcall.Announcement) Health

// AnnounceChecked is Announce for an announcement with a start time. If this process
// can't tell whether a is outdated, it checks the health of the backend server first.
// Until that is possible, AnnounceChecked returns mwcode.Unconfirmed, and the backend
// server has to announce itself again. A leave needs no check.
func (k *Kernel) AnnounceChecked(ctx context.Context, a mwcall.Announcement, check HealthCheck) error {
	if err := checkAnnouncement(&a); err != nil {
		return err
	}
	if a.Leaving || !k.mayBeOutdated(a) {
		return k.Announce(a)
	}
	began := time.Now()
	h := check(ctx, a)
	k.log.Info("backend server health checked", "Instance", a.Instance, "Seq", a.Seq, "Health", h)
	switch {
	case h == HealthGone:
		return nil // The announcement arrived after its sender ended.
	case h == HealthUnknown && k.mayPrecedeStart():
		return mwcode.New(mwcode.Unconfirmed)
	case h == HealthGood:
		a.Checked = began
	}
	a.Leaving = h == HealthLeaving
	return k.Announce(a)
}

// mayBeOutdated reports whether a may be outdated although this process has no
// newer announcement: the backend server may have told an earlier process on this
// VM that it leaves, and a was sent before. That is not the case if it has not left
// since this process accepted an announcement of it, or if this process has run for
// so long that it would know of the leave. The first announcement of a backend server
// is no exception, as it can be delayed like any other.
func (k *Kernel) mayBeOutdated(a mwcall.Announcement) bool {
	if d, ok := k.backends.departed.Get(a.Instance); ok && d.covers(a) {
		return d.started.IsZero() // Otherwise Announce ignores a.
	}
	old, known := k.backends.m.Get(a.Service)
	switch {
	case !known:
		return true
	case !old.olderThan(a):
		return false // Announce ignores a.
	}
	serves := !old.Leaving && old.Instance == a.Instance && old.Started.Equal(a.Started)
	return !serves && k.mayPrecedeStart()
}

// maxAnnouncementDelay is the maximum time from sending an announcement to its
// arrival.
const maxAnnouncementDelay = 10 * time.Second

// mayPrecedeStart reports whether an announcement that arrives now may have been sent
// before this process started.
func (k *Kernel) mayPrecedeStart() bool { return time.Since(k.started) < maxAnnouncementDelay }
