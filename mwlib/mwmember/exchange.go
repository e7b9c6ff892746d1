package mwmember

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Parameters of exchanges, which synchronize two tables.
const (
	exchangeTimeout     = 2 * time.Second
	minExchangeInterval = 2 * time.Second // minimum time between two exchanges
	// An exchange starts if digests differ and the table did not change for
	// quietPeriod, or if they differ for differTimeout while it changes.
	quietPeriod        = time.Second
	differTimeout      = 4 * time.Second
	minExchangeBuckets = 4 // number of buckets that an exchange may synchronize even if the allowance is used up
	maxExchangeBuckets = 16
	// During the startupPeriod after its start, a node exchanges as soon as
	// digests differ, up to once every startupInterval and without regard to
	// the allowance, so that the nodes of a zone that start together soon have
	// complete tables.
	startupPeriod       = time.Minute
	startupInterval     = 500 * time.Millisecond
	bucketExchangeBytes = mwunit.Bytes(2048) // estimated size of the exchange of one bucket
	// maxQueuedFromExchange is the maximum number of records and opinions in a
	// message of an exchange for them to be queued as updates. The contents of
	// a larger message are not queued; other nodes receive them by exchanges
	// that start because digests differ.
	maxQueuedFromExchange = 64
)

// requestExchange requests an exchange with the node at to if the digest in its
// message res differs from this node's. While the table changes, it does so only
// after digests have differed for differTimeout, except in the startupPeriod.
func (g *Gossip) requestExchange(to mwid.Address, res Message) {
	if res.Digest == g.view.Load().digest {
		g.differsSince.Store(0)
		return
	}
	now := time.Now()
	g.differsSince.CompareAndSwap(0, now.UnixNano())
	quiet := now.Sub(time.Unix(0, g.lastChange.Load())) > quietPeriod
	if !quiet && !g.inStartup() && now.Sub(time.Unix(0, g.differsSince.Load())) < differTimeout {
		return
	}
	select {
	case g.exchangeWith <- to:
	default:
	}
}

// inStartup reports whether this node is in its startupPeriod.
func (g *Gossip) inStartup() bool { return time.Since(g.started) < startupPeriod }

// exchangeOnDemand carries out the exchanges that requestExchange requests.
func (g *Gossip) exchangeOnDemand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-g.exchangeWith:
			if _, err := g.exchange(ctx, to, g.bucketLimit()); err != nil {
				g.log.Debug("exchange failed", "Peer", to, "Error", err)
			}
		}
		interval := minExchangeInterval
		if g.inStartup() {
			interval = startupInterval
		}
		if !mwtimer.Sleep(ctx, interval) {
			return
		}
	}
}

// bucketLimit returns the number of buckets that an exchange may synchronize
// now.
func (g *Gossip) bucketLimit() int {
	if g.inStartup() {
		return maxExchangeBuckets
	}
	return minExchangeBuckets + int(g.allowance.available((maxExchangeBuckets-minExchangeBuckets)*bucketExchangeBytes)/bucketExchangeBytes)
}

// exchangeStep sends one request of an exchange and applies the reply.
func (g *Gossip) exchangeStep(ctx context.Context, to mwid.Address, r ExchangeRequest) (ExchangeReply, error) {
	r.From = g.self
	res, err := g.tr.Exchange(ctx, to, r)
	if err != nil {
		g.stat.failures[exchangeKind].Inc()
		return res, err
	}
	n := r.bytes() + res.bytes()
	g.stat.countSent(exchangeKind, n)
	g.allowance.spend(n)
	g.receiveExchanged(res.Records, res.Opinions)
	return res, nil
}

// exchange synchronizes up to n buckets with the node at to. It returns the
// number of differing buckets beyond these n, even if a later step fails, or the
// number of all buckets if the first step fails.
func (g *Gossip) exchange(ctx context.Context, to mwid.Address, n int) (remaining int, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	res, err := g.exchangeStep(ctx, to, ExchangeRequest{Tops: g.view.Load().topDigests()})
	if err != nil {
		return buckets, err
	}
	differ := shuffled(g.view.Load().differingBuckets(res.Tops))
	if len(differ) == 0 {
		return 0, nil
	}
	selected := differ[:min(len(differ), n)]
	remaining = len(differ) - len(selected)
	res, err = g.exchangeStep(ctx, to, ExchangeRequest{Buckets: stampsOf(g.table.all(), selected)})
	if err != nil || len(res.Wants) == 0 {
		return remaining, err
	}
	rs, os := statesOf(g.table.all(), res.Wants)
	_, err = g.exchangeStep(ctx, to, ExchangeRequest{Records: rs, Opinions: os})
	return remaining, err
}

// differingBuckets returns the buckets whose digests differ from those in tops.
func (v *view) differingBuckets(tops []Top) []int {
	var out []int
	for _, t := range tops {
		if t.Index < 0 || t.Index >= topBuckets || len(t.Digests) != bucketsPerTop {
			continue
		}
		for i, d := range t.Digests {
			if b := t.Index*bucketsPerTop + i; v.digests[b] != d {
				out = append(out, b)
			}
		}
	}
	return out
}

// stampsOf returns the buckets bs with the stamps of those members of ms that
// are in them.
func stampsOf(ms []*member, bs []int) []Bucket {
	var at [buckets]*Bucket
	out := make([]Bucket, len(bs))
	for i, b := range bs {
		out[i].Index = b
		at[b] = &out[i]
	}
	for _, m := range ms {
		if b := at[m.bucket()]; b != nil {
			b.Stamps = append(b.Stamps, stampOf(m))
		}
	}
	return out
}

// statesOf returns the records and opinions of those members of ms whose nodes
// are in wants, which holds values of Stamp.node.
func statesOf(ms []*member, wants []uint32) (rs []Record, os []Opinion) {
	want := make(map[uint32]bool, len(wants))
	for _, w := range wants {
		want[w] = true
	}
	for _, m := range ms {
		if want[stampOf(m).node()] {
			rs, os = m.appendState(rs, os)
		}
	}
	return rs, os
}

// appendState appends the record of m, unless m is dead, and the opinion of m,
// unless m is alive.
func (m *member) appendState(rs []Record, os []Opinion) ([]Record, []Opinion) {
	if m.health != Dead {
		rs = append(rs, m.Record)
	}
	if m.health != Alive {
		os = append(os, m.opinion())
	}
	return rs, os
}

// receiveExchanged applies the records and opinions of one message of an
// exchange. They are queued as updates only if there are at most
// maxQueuedFromExchange of them. Records of other boots at this node's address
// and opinions about this node are always handled as those of a ping.
func (g *Gossip) receiveExchanged(rs []Record, os []Opinion) {
	if len(rs)+len(os) <= maxQueuedFromExchange {
		g.receiveUpdates(rs, os)
		return
	}
	rs, os = g.withoutInvalid(rs, os)
	for _, r := range rs {
		if addressOf(r.Node) == g.addr {
			g.receiveRecord(r)
			continue
		}
		if stored, _ := g.table.putRecord(r, time.Now()); stored {
			g.markChanged()
		}
	}
	for _, o := range os {
		if o.Node == g.self {
			g.receiveOpinion(o)
			continue
		}
		g.storeOpinion(o)
	}
}

// HandleExchange answers one step of an exchange.
func (g *Gossip) HandleExchange(r ExchangeRequest) ExchangeReply {
	g.receiveExchanged(r.Records, r.Opinions)
	switch {
	case len(r.Tops) == topBuckets:
		return ExchangeReply{Tops: g.view.Load().differingTops(r.Tops)}
	case len(r.Buckets) > 0:
		return answerBuckets(g.table.all(), r.Buckets)
	default:
		return ExchangeReply{}
	}
}

// differingTops returns the top buckets whose digests differ from those in tops.
func (v *view) differingTops(tops []uint64) []Top {
	var out []Top
	for i, d := range v.topDigests() {
		if d != tops[i] {
			out = append(out, Top{Index: i, Digests: v.digests[i*bucketsPerTop : (i+1)*bucketsPerTop]})
		}
	}
	return out
}

// answerBuckets compares the members of ms in the buckets bs with the stamps in
// bs. It returns the records and opinions of the members whose stamps differ or
// are missing; dead members are omitted if their stamps are missing. In Wants it
// asks for the nodes of which the requesting side may have newer state.
func answerBuckets(ms []*member, bs []Bucket) ExchangeReply {
	asked := make(map[int]bool, len(bs))
	theirs := make(map[uint32]Stamp)
	for _, b := range bs {
		asked[b.Index] = true
		for _, s := range b.Stamps {
			theirs[s.node()] = s
		}
	}
	var res ExchangeReply
	for _, m := range ms {
		if !asked[m.bucket()] {
			continue
		}
		mine := stampOf(m)
		s, ok := theirs[mine.node()]
		delete(theirs, mine.node())
		if (ok && s == mine) || (!ok && m.health == Dead) {
			continue
		}
		res.Records, res.Opinions = m.appendState(res.Records, res.Opinions)
		if ok {
			res.Wants = append(res.Wants, mine.node())
		}
	}
	for n := range theirs {
		res.Wants = append(res.Wants, n)
	}
	return res
}
