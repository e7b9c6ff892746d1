package mwkernel

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Bounds and default of the time for which an announcement is valid.
const (
	MinTTL     = 100 * time.Millisecond
	MaxTTL     = time.Minute
	DefaultTTL = 3 * time.Second
)

// Limits of an announcement, far above what one VM can serve. A larger number is
// a mistake of its sender.
const (
	maxSlots       mwunit.Slots       = 1 << 20
	maxConnections mwunit.Connections = 1 << 20
)

// sweepPeriod is the time between two searches for expired announcements.
const sweepPeriod = 100 * time.Millisecond

// backends are the backend servers announced at this node, by service.
type backends struct {
	k *Kernel
	m *mwshard.Map[mwid.ServiceName, backend]
	// departed are the backend servers that deregistered.
	departed *mwshard.Map[mwid.InstanceID, departure]
}

// backend is the last announcement of the backend server of a service. The
// entry of a backend server that left is kept for a time, so that a late
// announcement by it can be told from one by its successor.
type backend struct {
	mwcall.Announcement
	expires   time.Time
	withdrawn bool
}

// olderThan reports whether a replaces the announcement in b. It does if its
// backend server started later or, with the same start time, if its sequence
// number is higher. If two instances have the same start time, any announcement
// with a sequence number replaces that of the other. Once the backend server
// has left, only one with a later start time replaces it. Announcements without
// a start time are not ordered and always replace the known one.
func (b backend) olderThan(a mwcall.Announcement) bool {
	if a.Started.IsZero() {
		return true
	}
	if c := a.Started.Compare(b.Started); c != 0 {
		return c > 0
	}
	if a.Instance != b.Instance {
		return !b.withdrawn && a.Seq > 0
	}
	return !b.withdrawn && a.Seq > b.Seq
}

func newBackends(k *Kernel) (*backends, func()) {
	b := &backends{
		k: k, m: mwshard.New[mwid.ServiceName, backend](1),
		departed: mwshard.New[mwid.InstanceID, departure](1),
	}
	return b, mwtimer.Every(sweepPeriod, k.panics.Tick("announcements", b.sweep))
}

// get returns the announcement of s and whether it is valid.
func (b *backends) get(s mwid.ServiceName) (mwcall.Announcement, bool) {
	v, ok := b.m.Get(s)
	return v.Announcement, ok && !v.withdrawn && time.Now().Before(v.expires)
}

// serving returns the announcement of s if its backend server takes calls. The code
// of its error is mwcode.NoBackend or mwcode.Draining.
func (b *backends) serving(s mwid.ServiceName) (mwcall.Announcement, error) {
	a, ok := b.get(s)
	switch {
	case !ok:
		return a, mwcode.New(mwcode.NoBackend)
	case a.Leaving:
		return a, mwcode.New(mwcode.Draining)
	}
	return a, nil
}

// sweep deletes the expired entries and departures. For each backend server that had
// not left, it also tells the other nodes that its target is gone.
func (b *backends) sweep(now time.Time) {
	var expired []mwid.ServiceName
	b.m.DeleteFunc(func(s mwid.ServiceName, v backend) bool {
		if now.Before(v.expires) {
			return false
		}
		if !v.withdrawn {
			expired = append(expired, s)
		}
		return true
	})
	b.departed.DeleteFunc(func(_ mwid.InstanceID, d departure) bool {
		return now.Sub(d.at) >= withdrawnRetention
	})
	for _, s := range expired {
		b.k.log.Info("backend server announcement expired", "Service", s)
		b.k.admit.RefuseQueued(s)
		b.k.member.Withdraw(s)
	}
}

// Announce adds or renews the announcement of this VM's backend server. An
// announcement older than the known one is ignored.
func (k *Kernel) Announce(a mwcall.Announcement) error {
	if err := checkAnnouncement(&a); err != nil {
		return err
	}
	if k.backends.hasLeft(a) || !k.backends.update(a) {
		k.log.Info("outdated announcement ignored", "Service", a.Service, "Instance", a.Instance, "Seq", a.Seq)
		return nil
	}
	if k.backends.hasLeft(a) { // WithdrawInstance ran before the update and missed it.
		k.Withdraw(a.Service)
		return nil
	}
	k.admit.Announce(a)
	if a.Leaving {
		k.admit.RefuseQueued(a.Service)
	}
	k.member.Announce(a)
	return nil
}

// update stores a and returns true. If the stored announcement is not older
// than a, update keeps it and returns false.
func (b *backends) update(a mwcall.Announcement) bool {
	taken, changed := false, false
	b.m.Update(a.Service, func(old backend, ok bool) (backend, bool) {
		if ok && !old.olderThan(a) {
			return old, true
		}
		taken = true
		changed = !ok || old.Instance != a.Instance || !old.Started.Equal(a.Started) || old.Leaving != a.Leaving
		return backend{Announcement: a, expires: time.Now().Add(a.TTL)}, true
	})
	if changed {
		b.k.log.Info("backend server announced", "Service", a.Service, "Instance", a.Instance,
			"Address", a.Address, "Slots", a.Slots, "Leaving", a.Leaving, "Seq", a.Seq)
	}
	return taken
}

// checkAnnouncement returns mwcode.BadValue if a can't be the announcement of a backend
// server. It sets the default of a.TTL.
func checkAnnouncement(a *mwcall.Announcement) error {
	if a.TTL == 0 {
		a.TTL = DefaultTTL
	}
	switch {
	case a.Service == "":
		return mwcode.New(mwcode.BadValue, mwcode.Field("Service"), mwcode.Expected("a service"))
	case !a.Address.Valid():
		return mwcode.New(mwcode.BadValue, mwcode.Field("Address"), mwcode.Expected("IP:port"))
	case a.Slots < 1 || a.Slots > maxSlots:
		return mwcode.New(mwcode.BadValue, mwcode.Field("Slots"), mwcode.Expected("1 to 1048576"))
	case a.Connections < 1 || a.Connections > maxConnections:
		return mwcode.New(mwcode.BadValue, mwcode.Field("Connections"), mwcode.Expected("1 to 1048576"))
	case a.TTL < MinTTL || a.TTL > MaxTTL:
		return mwcode.New(mwcode.BadValue, mwcode.Field("TTL"),
			mwcode.Expected(MinTTL.String()+" to "+MaxTTL.String()))
	}
	return nil
}

// Withdraw withdraws the announcement of s.
func (k *Kernel) Withdraw(s mwid.ServiceName) {
	k.backends.withdraw(s)
	k.admit.RefuseQueued(s)
	k.member.Withdraw(s)
}

// WithdrawInstance withdraws the announcements of the backend server with the
// given id, for all of its services, unless it started after started. A zero started
// means any start. Announcements that arrive later and were sent before are ignored,
// also if this process knows none of that backend server yet.
func (k *Kernel) WithdrawInstance(id mwid.InstanceID, started time.Time) {
	k.backends.depart(id, started)
	for _, a := range k.Announced() {
		if a.Instance == id && (started.IsZero() || !a.Started.After(started)) {
			k.backends.depart(id, a.Started)
			k.log.Info("backend server announcement withdrawn", "Service", a.Service, "Instance", id)
			k.Withdraw(a.Service)
		}
	}
}

// withdrawnRetention is how long the entry of a backend server that left is
// kept. Announcements are assumed to arrive within this time, so a late one is
// recognized as outdated.
const withdrawnRetention = time.Minute

// withdraw records that the backend server of s left. If its announcements have
// no start time, and so are not ordered, withdraw deletes the entry at once.
func (b *backends) withdraw(s mwid.ServiceName) {
	b.m.Update(s, func(old backend, ok bool) (backend, bool) {
		old.withdrawn, old.expires = true, time.Now().Add(withdrawnRetention)
		return old, ok && !old.Started.IsZero()
	})
}

// Announced returns the announcements of the backend servers that have not
// left.
func (k *Kernel) Announced() []mwcall.Announcement {
	var as []mwcall.Announcement
	k.backends.m.Range(func(_ mwid.ServiceName, v backend) bool {
		if !v.withdrawn {
			as = append(as, v.Announcement)
		}
		return true
	})
	return as
}

// Leave stops taking new work for this VM's backend server and announces that
// to other nodes. The returned channel is closed when no call is in flight at
// this node.
func (k *Kernel) Leave() <-chan struct{} {
	idle := k.lifecycle.leave()
	k.member.Leave()
	return idle
}

// Close refuses all calls that arrive from now on, also those that other targets
// could take. Calls in flight continue. A draining node calls it some time before it
// must end, so that no call that it passes on is still in flight then.
func (k *Kernel) Close() { k.lifecycle.closed.Store(true) }

// Drain calls Leave and waits until no call is in flight at this node. If ctx
// ends first, it returns context.Cause(ctx).
func (k *Kernel) Drain(ctx context.Context) error {
	idle := k.Leave()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Draining reports whether Leave or Drain was called.
func (k *Kernel) Draining() bool { return k.lifecycle.isLeaving() }
