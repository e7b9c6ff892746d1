package mwversion

import (
	"context"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
)

// rpcName is the name under which the methods are served.
const rpcName = "Version"

// FetchRequest asks for what is newer than Have.
type FetchRequest struct {
	Have mwid.Version
}

// FetchReply has the Changes after Have up to Version or, where they aren't
// kept any more, the Whole. Version is 0 where the node has none.
type FetchReply struct {
	Version mwid.Version
	Changes []mwconfig.Change
	Whole   mwconfig.Whole
}

// handler has the methods that are served.
type handler struct {
	f *Fanout
}

// Fetch answers a node that has a lower version.
func (h *handler) Fetch(req *FetchRequest, res *FetchReply) error {
	*res = h.f.fetched(req.Have)
	return nil
}

// fetched returns what is newer than have.
func (f *Fanout) fetched(have mwid.Version) FetchReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.cur.Load()
	if s == nil {
		return FetchReply{}
	}
	res := FetchReply{Version: s.Version()}
	if have >= res.Version {
		return res
	}
	i := slices.IndexFunc(f.recent, func(c mwconfig.Change) bool { return c.Version == have+1 })
	if i < 0 {
		res.Whole = mwconfig.Whole{Version: s.Version(), Documents: s.Documents()}
		return res
	}
	res.Changes = slices.Clone(f.recent[i:])
	return res
}

// How versions are followed.
const (
	followPeriod = time.Second
	fetchTimeout = time.Second
	fetchGap     = 20 * time.Millisecond
	fetchBackoff = 500 * time.Millisecond
	otherPeers   = 2 // otherPeers are asked where the known holder is silent.
)

// notifier is a membership that tells when the newest version grew.
type notifier interface{ NewestChanged() <-chan struct{} }

// follow fetches what others have in force and this node has not.
func (f *Fanout) follow(ctx context.Context) {
	var grew <-chan struct{}
	if n, ok := f.member.(notifier); ok {
		grew = n.NewestChanged()
	}
	t := mwtimer.NewTicker(followPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-grew:
		case <-t.C:
		}
		for f.behind() && f.catchUp(ctx) {
			if !mwtimer.Sleep(ctx, fetchGap) {
				return
			}
		}
	}
}

// behind tells whether a higher version is known to be in force elsewhere.
func (f *Fanout) behind() bool {
	v, _ := f.member.Newest()
	return v > f.version()
}

// catchUp fetches from the known holder or, where that fails, from others.
// It tells whether to go on at once.
func (f *Fanout) catchUp(ctx context.Context) bool {
	_, holder := f.member.Newest()
	if f.fetch(ctx, holder) {
		return true
	}
	for _, a := range f.member.Peers(otherPeers) {
		if f.behind() && a != holder && f.fetch(ctx, a) {
			return true
		}
	}
	return mwtimer.Sleep(ctx, fetchBackoff)
}

// fetch fetches from the node at addr and tells whether that raised the
// version in force.
func (f *Fanout) fetch(ctx context.Context, addr mwid.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := f.version()
	var res FetchReply
	f.stat.read(fromPeer)
	if err := f.peers.Call(ctx, addr, rpcName+".Fetch", &FetchRequest{Have: have}, &res); err != nil {
		f.stat.failed(fromPeer)
		f.log.Debug("configuration not fetched", "Peer", addr, "Error", err)
		return false
	}
	return f.take(have, res) == nil && f.version() > have
}

// take takes the answer of a peer that was asked for what is newer than
// have.
func (f *Fanout) take(have mwid.Version, res FetchReply) error {
	switch {
	case res.Version == 0 || res.Version == have:
		return nil
	case res.Version < have:
		return f.stale(fromPeer, res.Version, have)
	case len(res.Changes) > 0:
		return f.installChanges(fromPeer, res.Changes)
	default:
		return f.installWhole(fromPeer, res.Whole)
	}
}
