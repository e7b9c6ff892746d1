package mwmember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwstoreclient"
	"mustardwheel.example/mwlib/mwtimer"
)

// EntryPrefix is the prefix of the keys of rows that hold an Entry. The zone
// and a number follow.
const EntryPrefix mwstore.Key = "Member/Entry/"

// Entry is an entry row in the store. It names a node, usually a relay, through
// which others can join.
type Entry struct {
	Node mwid.NodeID
	Zone mwid.ZoneName
}

// EntryKey returns the key of entry i of zone z.
func EntryKey(z mwid.ZoneName, i int) mwstore.Key {
	return EntryPrefix + mwstore.Key(z) + "/" + mwstore.Key(strconv.Itoa(i))
}

// Parameters of joining.
const (
	firstJoinWait      = 200 * time.Millisecond
	maxJoinWait        = 5 * time.Second
	entryPeriod        = 30 * time.Second
	storeTimeout       = 2 * time.Second
	maxEntries         = 1024
	maxConcurrentJoins = 8                                // maximum number of candidates that are contacted concurrently
	maxJoinExchanges   = 2 * buckets / maxExchangeBuckets // maximum number of exchanges of one join
)

// joinAndMaintain joins other nodes while none is known and, on a relay,
// maintains the entry rows in the store.
//
// If many nodes start together, groups of them may find only each other. The
// relays therefore read the entry rows again soon after they joined, and contact
// a node named there that they still do not know. Each group has relays of its
// own, so the calls for this do not grow with the number of nodes in a zone.
func (g *Gossip) joinAndMaintain(ctx context.Context) {
	if g.spread > 0 && !mwtimer.Sleep(ctx, rand.N(g.spread)) {
		return
	}
	rounds := 0
	for {
		if g.view.Load().countOthers(g.self) == 0 {
			if !g.joinWithRetry(ctx) {
				return
			}
			rounds = 0
		}
		wait := entryPeriod/2 + rand.N(entryPeriod)
		if rounds < len(settlePeriods) {
			wait = settlePeriods[rounds]/2 + rand.N(settlePeriods[rounds])
		}
		if !mwtimer.Sleep(ctx, wait) {
			return
		}
		g.maintainEntries(ctx)
		rounds++
	}
}

// settlePeriods are the mean times between the first reads of the entry rows
// after a join. When a whole system starts, all its nodes start within the first
// period; the second is for nodes that received a late answer from the store.
var settlePeriods = [...]time.Duration{time.Second, 4 * time.Second}

// joinWithRetry repeats attempts to join until another node is known. It
// returns false if ctx is done before that. After a failed attempt, this node
// writes itself into an entry row, so that others find it.
func (g *Gossip) joinWithRetry(ctx context.Context) bool {
	wait := firstJoinWait
	for g.view.Load().countOthers(g.self) == 0 {
		es := g.loadEntries(ctx)
		if g.joinAny(ctx, g.candidates(es)) {
			return true
		}
		g.writeEntryIfMissing(ctx, es, 0)
		if !mwtimer.Sleep(ctx, wait+rand.N(wait)) {
			return false
		}
		wait = min(2*wait, maxJoinWait)
	}
	return true
}

// candidates returns the addresses from the settings and from es, without that
// of this node.
func (g *Gossip) candidates(es []Entry) []mwid.Address {
	out := slices.Clone(g.join)
	for _, e := range es {
		out = append(out, addressOf(e.Node))
	}
	out = slices.DeleteFunc(out, func(a mwid.Address) bool { return a == g.addr })
	return mwset.New(out...).Sorted()
}

// joinAny contacts up to maxConcurrentJoins random candidates from as. It fetches
// the whole table, beginning at the first candidate that answers, and queues this
// node's record. It reports whether a candidate answered and another node is then
// known.
func (g *Gossip) joinAny(ctx context.Context, as []mwid.Address) bool {
	as = shuffled(as)
	as = as[:min(len(as), maxConcurrentJoins)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var eg errgroup.Group
	found := make(chan mwid.Address, len(as))
	for _, a := range as {
		eg.Go(func() error {
			_, err := g.exchange(ctx, a, maxExchangeBuckets)
			if err == nil {
				found <- a
				return nil
			}
			return err
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := eg.Wait(); err != nil {
			g.log.Debug("join candidate did not answer", "Error", err)
		}
	}()
	ok := false
	select {
	case a := <-found:
		ok = true
		g.fetchTable(ctx, a)
	case <-done:
		ok = len(found) > 0
	}
	cancel()
	<-done
	g.rebuild()
	if !ok || g.view.Load().countOthers(g.self) == 0 {
		return false
	}
	g.queueRecord(g.ownRecord(), totalSends)
	return true
}

// ownRecord returns the record of this node.
func (g *Gossip) ownRecord() Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.own
}

// fetchTable exchanges until no bucket differs, first with the node at a, then
// with random ones, so that the load of nodes that start together is shared.
func (g *Gossip) fetchTable(ctx context.Context, a mwid.Address) {
	for range maxJoinExchanges {
		g.rebuild()
		remaining, err := g.exchange(ctx, a, maxExchangeBuckets)
		if remaining == 0 || ctx.Err() != nil {
			return
		}
		if err != nil {
			g.log.Debug("exchange failed", "Peer", a, "Error", err)
		}
		if peers := g.Peers(1); len(peers) > 0 {
			a = peers[0]
		}
	}
}

// maintainEntries writes the entry row of this node if it is a relay, and
// contacts an unknown node that an entry row names. It does nothing at other
// nodes.
func (g *Gossip) maintainEntries(ctx context.Context) {
	i := g.relayIndex()
	if i >= RelaysPerZone {
		return
	}
	es := g.loadEntries(ctx)
	g.writeEntryIfMissing(ctx, es, i)
	g.contactUnknown(ctx, es)
}

// storeContext returns a context for one request to the store.
func storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(mwstoreclient.WithUse(ctx, mwstoreclient.Joins), storeTimeout)
}

// loadEntries returns the entry rows, or none if they can't be read.
func (g *Gossip) loadEntries(ctx context.Context) []Entry {
	if g.rows == nil {
		return nil
	}
	ctx, cancel := storeContext(ctx)
	defer cancel()
	es, err := readEntries(ctx, g.rows)
	if err != nil {
		g.log.Warn("cannot read entry rows", "Code", int(mwcode.CodeOf(err)), "Error", err)
	}
	return es
}

// writeEntryIfMissing writes this node into entry row i of its zone, unless es
// already names this node.
func (g *Gossip) writeEntryIfMissing(ctx context.Context, es []Entry, i int) {
	if g.rows == nil || slices.Contains(es, Entry{Node: g.self, Zone: g.zone}) {
		return
	}
	ctx, cancel := storeContext(ctx)
	defer cancel()
	if err := g.writeEntry(ctx, i); err != nil {
		g.log.Warn("cannot write entry row", "Code", int(mwcode.CodeOf(err)), "Error", err)
	}
}

// readEntries returns the entry rows of t. It skips rows that name no node, as
// another program may have written them.
func readEntries(ctx context.Context, t mwstore.Table) ([]Entry, error) {
	rows, err := t.Scan(ctx, EntryPrefix, "", maxEntries)
	if err != nil {
		return nil, err
	}
	var out []Entry
	for _, r := range rows {
		var e Entry
		if json.Unmarshal(r.Value, &e) == nil && addressOf(e.Node).Valid() {
			out = append(out, e)
		}
	}
	return out, nil
}

// writeEntry writes entry row i of this node's zone.
func (g *Gossip) writeEntry(ctx context.Context, i int) error {
	b, err := json.Marshal(Entry{Node: g.self, Zone: g.zone})
	if err != nil {
		return err
	}
	_, err = g.rows.Commit(ctx, mwstore.Txn{
		Writes: []mwstore.Write{{Key: EntryKey(g.zone, i), Value: b}},
	})
	return err
}

// contactUnknown exchanges with one node of es that is not known, so that
// groups of nodes that never knew each other merge.
func (g *Gossip) contactUnknown(ctx context.Context, es []Entry) {
	for _, e := range shuffled(es) {
		if _, ok := g.table.get(e.Node); ok || e.Node == g.self {
			continue
		}
		if _, err := g.exchange(ctx, addressOf(e.Node), maxExchangeBuckets); err != nil {
			g.log.Debug("node of entry row did not answer", "Node", e.Node, "Error", err)
		}
		return
	}
}
