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
	"mustardwheel.example/mwlib/mwtimer"
)

// EntryPrefix starts the keys of rows that hold an Entry: the zone and a
// number follow.
const EntryPrefix mwstore.Key = "Member/Entry/"

// Entry is a row of the table that names a relay, as a way into the
// membership.
type Entry struct {
	Node mwid.NodeID
	Zone mwid.ZoneName
}

// EntryKey returns the key of entry i of zone z.
func EntryKey(z mwid.ZoneName, i int) mwstore.Key {
	return EntryPrefix + mwstore.Key(z) + "/" + mwstore.Key(strconv.Itoa(i))
}

// How nodes find each other.
const (
	firstJoinWait = 200 * time.Millisecond
	maxJoinWait   = 5 * time.Second
	entryPeriod   = 30 * time.Second
	storeTimeout  = 2 * time.Second
	maxEntries    = 1024
	joinAtOnce    = 8                           // joinAtOnce is how many candidates are asked at the same time.
	maxChunks     = 2 * buckets / bucketsAtOnce // maxChunks bounds the exchanges of one join.
)

// joinAndEnter finds other nodes while none is known and, on a relay, keeps
// the table's entry rows.
//
// Of many nodes that start together, some may have found only each other. So
// each node looks again soon after it joined, and contacts those entries that
// it still does not know.
func (g *Gossip) joinAndEnter(ctx context.Context) {
	looks := 0
	for {
		if g.view.Load().others(g.self) == 0 {
			if !g.joinFirst(ctx) {
				return
			}
			looks = 0
		}
		wait := entryPeriod/2 + rand.N(entryPeriod)
		if looks < len(settlePeriods) {
			wait = settlePeriods[looks]/2 + rand.N(settlePeriods[looks])
		}
		if !mwtimer.Sleep(ctx, wait) {
			return
		}
		g.keepEntries(ctx, looks < len(settlePeriods))
		looks++
	}
}

// settlePeriods are the mean times between the first looks after a join: the
// start of a system takes less than the first, and the second is for those
// that the store answered late.
var settlePeriods = [...]time.Duration{time.Second, 4 * time.Second}

// joinFirst tries until another node is known. It returns false when ctx is
// done. A node that found nobody twice enters itself into the table, so that
// others find it; of many that start at the same time most find an entry by
// then.
func (g *Gossip) joinFirst(ctx context.Context) bool {
	wait := firstJoinWait
	for tries := 0; g.view.Load().others(g.self) == 0; tries++ {
		es := g.entries(ctx)
		if g.joinAny(ctx, g.candidates(es)) {
			return true
		}
		if tries > 0 {
			g.enterIn(ctx, es, 0)
		}
		if !mwtimer.Sleep(ctx, wait+rand.N(wait)) {
			return false
		}
		wait = min(2*wait, maxJoinWait)
	}
	return true
}

// candidates returns the addresses from the settings and from es.
func (g *Gossip) candidates(es []Entry) []mwid.Address {
	out := slices.Clone(g.join)
	for _, e := range es {
		out = append(out, addressOf(e.Node))
	}
	out = slices.DeleteFunc(out, func(a mwid.Address) bool { return a == g.addr })
	return mwset.New(out...).Sorted()
}

// joinAny takes the whole table from the candidate that answers first.
func (g *Gossip) joinAny(ctx context.Context, as []mwid.Address) bool {
	as = shuffled(as)
	as = as[:min(len(as), joinAtOnce)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var eg errgroup.Group
	found := make(chan mwid.Address, len(as))
	for _, a := range as {
		eg.Go(func() error {
			_, err := g.exchange(ctx, a, bucketsAtOnce)
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
			g.log.Debug("candidate silent", "Error", err)
		}
	}()
	ok := false
	select {
	case a := <-found:
		ok = true
		g.takeAll(ctx, a)
	case <-done:
		ok = len(found) > 0
	}
	cancel()
	<-done
	g.rebuild()
	if !ok || g.view.Load().others(g.self) == 0 {
		return false
	}
	g.queueRecord(g.ownRecord(), totalSends)
	return true
}

// ownRecord returns what this node says of itself.
func (g *Gossip) ownRecord() Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.own
}

// takeAll exchanges until nothing is left, first with the node at a, then
// with others, so that those who start at the same time share the work.
func (g *Gossip) takeAll(ctx context.Context, a mwid.Address) {
	for range maxChunks {
		g.rebuild()
		left, err := g.exchange(ctx, a, bucketsAtOnce)
		if left == 0 || ctx.Err() != nil {
			return
		}
		if err != nil {
			g.log.Debug("exchange failed", "Peer", a, "Error", err)
		}
		if more := g.Peers(1); len(more) > 0 {
			a = more[0]
		}
	}
}

// keepEntries enters this node where it is a relay, and makes contact with a
// node that was not known. While the system settles, all nodes do the latter.
func (g *Gossip) keepEntries(ctx context.Context, settling bool) {
	i := g.rank()
	if i >= RelaysPerZone && !settling {
		return
	}
	es := g.entries(ctx)
	if i < RelaysPerZone {
		g.enterIn(ctx, es, i)
	}
	g.contactUnknown(ctx, es)
}

// entries returns the entry rows, none where they can't be read.
func (g *Gossip) entries(ctx context.Context) []Entry {
	if g.rows == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	es, err := readEntries(ctx, g.rows)
	if err != nil {
		g.log.Warn("entry rows not read", "Code", int(mwcode.Of(err)), "Error", err)
	}
	return es
}

// enterIn writes this node into entry row i of its zone where es lacks it.
func (g *Gossip) enterIn(ctx context.Context, es []Entry, i int) {
	if g.rows == nil || slices.Contains(es, Entry{Node: g.self, Zone: g.zone}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := g.enter(ctx, i); err != nil {
		g.log.Warn("entry row not written", "Code", int(mwcode.Of(err)), "Error", err)
	}
}

func readEntries(ctx context.Context, t mwstore.Table) ([]Entry, error) {
	rows, err := t.Scan(ctx, EntryPrefix, "", maxEntries)
	if err != nil {
		return nil, err
	}
	var out []Entry
	for _, r := range rows {
		var e Entry
		if json.Unmarshal(r.Value, &e) == nil && e.Node != "" {
			out = append(out, e)
		}
	}
	return out, nil
}

// enter writes entry row i of the own zone.
func (g *Gossip) enter(ctx context.Context, i int) error {
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
// parts that never knew each other find together.
func (g *Gossip) contactUnknown(ctx context.Context, es []Entry) {
	for _, e := range shuffled(es) {
		if _, ok := g.table.get(e.Node); ok || e.Node == g.self {
			continue
		}
		if _, err := g.exchange(ctx, addressOf(e.Node), bucketsAtOnce); err != nil {
			g.log.Debug("entry silent", "Node", e.Node, "Error", err)
		}
		return
	}
}
