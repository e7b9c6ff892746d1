package mwkernel

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwtimer"
)

// Bounds of the time that an announcement holds.
const (
	MinTTL     = 100 * time.Millisecond
	MaxTTL     = time.Minute
	DefaultTTL = 3 * time.Second
)

// sweepPeriod is the time between two looks for lapsed announcements.
const sweepPeriod = 100 * time.Millisecond

// backends are the backend servers announced at this node, by service.
type backends struct {
	k *Kernel
	m *mwshard.Map[mwid.ServiceName, backend]
}

type backend struct {
	mwcall.Announcement
	until time.Time
}

func newBackends(k *Kernel) (*backends, func()) {
	b := &backends{k: k, m: mwshard.New[mwid.ServiceName, backend](1)}
	return b, mwtimer.Every(sweepPeriod, b.sweep)
}

// get returns the announcement of s where it holds.
func (b *backends) get(s mwid.ServiceName) (mwcall.Announcement, bool) {
	v, ok := b.m.Get(s)
	return v.Announcement, ok && time.Now().Before(v.until)
}

// sweep withdraws what lapsed.
func (b *backends) sweep(now time.Time) {
	var gone []mwid.ServiceName
	b.m.DeleteFunc(func(s mwid.ServiceName, v backend) bool {
		if now.Before(v.until) {
			return false
		}
		gone = append(gone, s)
		return true
	})
	for _, s := range gone {
		b.k.log.Info("backend server lapsed", "Service", s)
		b.k.member.Withdraw(s)
	}
}

// Announce takes the announcement of this VM's backend server, or renews it.
func (k *Kernel) Announce(a mwcall.Announcement) error {
	if err := checkAnnouncement(&a); err != nil {
		return err
	}
	k.backends.m.Set(a.Service, backend{a, time.Now().Add(a.TTL)})
	k.admit.Announce(a)
	k.member.Announce(a)
	return nil
}

func checkAnnouncement(a *mwcall.Announcement) error {
	if a.TTL == 0 {
		a.TTL = DefaultTTL
	}
	switch {
	case a.Service == "":
		return mwcode.New(mwcode.BadValue, mwcode.Field("Service"), mwcode.Expected("a service"))
	case a.Address == "":
		return mwcode.New(mwcode.BadValue, mwcode.Field("Address"), mwcode.Expected("IP:port"))
	case a.Slots < 1:
		return mwcode.New(mwcode.BadValue, mwcode.Field("Slots"), mwcode.Expected("at least 1"))
	case a.Connections < 1:
		return mwcode.New(mwcode.BadValue, mwcode.Field("Connections"), mwcode.Expected("at least 1"))
	case a.TTL < MinTTL || a.TTL > MaxTTL:
		return mwcode.New(mwcode.BadValue, mwcode.Field("TTL"),
			mwcode.Expected(MinTTL.String()+" to "+MaxTTL.String()))
	}
	return nil
}

// Withdraw takes back the announcement of s.
func (k *Kernel) Withdraw(s mwid.ServiceName) {
	k.backends.m.Delete(s)
	k.member.Withdraw(s)
}

// Announced returns the announcements that hold.
func (k *Kernel) Announced() []mwcall.Announcement {
	var as []mwcall.Announcement
	k.backends.m.Range(func(_ mwid.ServiceName, v backend) bool {
		as = append(as, v.Announcement)
		return true
	})
	return as
}

// Drain takes no new work, lets the calls in flight end and returns nil, or
// the error of ctx where that takes longer.
func (k *Kernel) Drain(ctx context.Context) error {
	idle := k.life.leave()
	k.member.Leave()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Draining tells whether Drain was called.
func (k *Kernel) Draining() bool { return k.life.isLeaving() }
