package mwversion

import (
	"context"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
)

// rpcName is the name of the RPC service.
const rpcName = "Version"

// FetchRequest asks for the changes to versions above Have.
type FetchRequest struct {
	Have mwid.Version
}

// FetchReply holds the Changes after Have up to Version, or the Whole
// configuration if the node no longer keeps those changes. Version is 0 if the
// node has no configuration.
type FetchReply struct {
	Version mwid.Version
	Changes []mwconfig.Change
	Whole   mwconfig.Whole
}

// handler holds the methods of the RPC service.
type handler struct {
	f *Fanout
}

// Fetch returns the changes to versions above req.Have, or the whole
// configuration.
func (h *handler) Fetch(req *FetchRequest, res *FetchReply) (err error) {
	defer h.f.panics.ContainAs("Version.Fetch", &err)
	*res = h.f.newerThan(req.Have)
	return nil
}

// newerThan returns the reply to a FetchRequest with the given version have.
func (f *Fanout) newerThan(have mwid.Version) FetchReply {
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

// Timing and limits of fetches from other nodes.
const (
	fetchPeriod      = time.Second
	fetchTimeout     = time.Second
	fetchGap         = 20 * time.Millisecond  // pause after a successful fetch
	fetchBackoff     = 500 * time.Millisecond // pause after all nodes that were asked failed
	maxFallbackPeers = 2                      // nodes to ask if the known holder fails
)

// notifier is a membership that signals when the newest known version increases.
type notifier interface{ NewestChanged() <-chan struct{} }

// fetchLoop fetches versions that are in force at other nodes but not here,
// until ctx is done.
func (f *Fanout) fetchLoop(ctx context.Context) {
	var changed <-chan struct{}
	if n, ok := f.member.(notifier); ok {
		changed = n.NewestChanged()
	}
	t := mwtimer.NewTicker(fetchPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
		for f.isBehind() && f.catchUp(ctx) {
			if !mwtimer.Sleep(ctx, fetchGap) {
				return
			}
		}
	}
}

// catchUp fetches from the known holder and, if that fails, from other nodes.
// If all fail, catchUp waits for fetchBackoff. It returns false once ctx is
// done, and true otherwise.
func (f *Fanout) catchUp(ctx context.Context) bool {
	_, holder := f.member.Newest()
	if f.fetch(ctx, holder) {
		return true
	}
	for _, a := range f.member.Peers(maxFallbackPeers) {
		if f.isBehind() && a != holder && f.fetch(ctx, a) {
			return true
		}
	}
	return mwtimer.Sleep(ctx, fetchBackoff)
}

// fetch fetches from the node at addr and reports whether the version in force
// rose.
func (f *Fanout) fetch(ctx context.Context, addr mwid.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := f.version()
	var res FetchReply
	f.stat.countRead(fromPeer)
	err := f.peers.Call(ctx, addr, rpcName+".Fetch", &FetchRequest{Have: have}, &res)
	f.fetchFailed.Store(err != nil)
	if err != nil {
		f.stat.countFailure(fromPeer)
		if omitted, ok := f.fetchLines.Allow(time.Now()); ok {
			newest, _ := f.member.Newest()
			f.log.Warn("failed to fetch configuration from peer", "Peer", addr, "Error", err,
				"InForce", have, "Newest", newest, "Omitted", omitted)
		}
		return false
	}
	return f.installReply(have, res) == nil && f.version() > have
}

// installReply installs the reply of a peer to a FetchRequest with the given
// version have.
func (f *Fanout) installReply(have mwid.Version, res FetchReply) error {
	switch {
	case res.Version == 0 || res.Version == have:
		return nil
	case res.Version < have:
		return f.rejectStale(fromPeer, res.Version, have)
	case len(res.Changes) > 0:
		return f.installChanges(fromPeer, res.Changes)
	default:
		return f.installWhole(fromPeer, res.Whole)
	}
}
