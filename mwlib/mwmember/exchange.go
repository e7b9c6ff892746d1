package mwmember

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// How tables are made equal.
const (
	exchangeTimeout = 2 * time.Second
	exchangeGap     = 2 * time.Second // exchangeGap is the least time between two exchanges.
	quietTime       = time.Second     // quietTime without news makes a difference count.
	differTime      = 4 * time.Second // differTime makes a difference count also amid news.
	leastBuckets    = 4               // leastBuckets are made equal in an exchange whatever was sent before.
	bucketsAtOnce   = 16
	// In its first startTime a node exchanges as much as it needs, startGap
	// apart, so that a zone that starts as a whole is soon complete.
	startTime   = time.Minute
	startGap    = 500 * time.Millisecond
	bucketBytes = mwunit.Bytes(2048) // bucketBytes is what an exchange of one bucket may take.
	// bulk is the number of records from one exchange above which they are
	// not passed on as news; digests spread them then.
	bulk = 64
)

// compare asks for an exchange with the node at to where its digest has
// differed for long enough.
func (g *Gossip) compare(to mwid.Address, res Message) {
	if res.Digest == g.view.Load().digest {
		g.differs.Store(0)
		return
	}
	now := time.Now()
	g.differs.CompareAndSwap(0, now.UnixNano())
	quiet := now.Sub(time.Unix(0, g.changed.Load())) > quietTime
	if !quiet && !g.starting() && now.Sub(time.Unix(0, g.differs.Load())) < differTime {
		return
	}
	select {
	case g.sync <- to:
	default:
	}
}

// starting tells whether this node started lately.
func (g *Gossip) starting() bool { return time.Since(g.started) < startTime }

// exchangeOnDemand makes the exchanges that were asked for.
func (g *Gossip) exchangeOnDemand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-g.sync:
			if _, err := g.exchange(ctx, to, g.bucketsNow()); err != nil {
				g.log.Debug("exchange failed", "Peer", to, "Error", err)
			}
		}
		gap := exchangeGap
		if g.starting() {
			gap = startGap
		}
		if !mwtimer.Sleep(ctx, gap) {
			return
		}
	}
}

// bucketsNow returns how many buckets an exchange may make equal now.
func (g *Gossip) bucketsNow() int {
	if g.starting() {
		return bucketsAtOnce
	}
	return leastBuckets + int(g.allowance.room((bucketsAtOnce-leastBuckets)*bucketBytes)/bucketBytes)
}

// step makes one step of an exchange and learns from the reply.
func (g *Gossip) step(ctx context.Context, to mwid.Address, r ExchangeRequest) (ExchangeReply, error) {
	r.From = g.self
	res, err := g.tr.Exchange(ctx, to, r)
	if err != nil {
		g.stat.failures[exchangeKind].Inc()
		return res, err
	}
	n := r.bytes() + res.bytes()
	g.stat.sent(exchangeKind, n)
	g.allowance.spend(n)
	g.adopt(res.Records, res.Opinions)
	return res, nil
}

// exchange makes up to n buckets equal with the node at to. It returns the
// number of buckets that differ still.
func (g *Gossip) exchange(ctx context.Context, to mwid.Address, n int) (left int, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	res, err := g.step(ctx, to, ExchangeRequest{Tops: g.view.Load().tops()})
	if err != nil {
		return buckets, err
	}
	differ := shuffled(g.view.Load().differing(res.Tops))
	if len(differ) == 0 {
		return 0, nil
	}
	now := differ[:min(len(differ), n)]
	left = len(differ) - len(now)
	res, err = g.step(ctx, to, ExchangeRequest{Buckets: stampsOf(g.table.all(), now)})
	if err != nil || len(res.Wants) == 0 {
		return left, err
	}
	rs, os := wanted(g.table.all(), res.Wants)
	_, err = g.step(ctx, to, ExchangeRequest{Records: rs, Opinions: os})
	return left, err
}

// differing returns the buckets whose digests are not those in tops.
func (v *view) differing(tops []Top) []int {
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

// stampsOf returns the stamps of the nodes of ms in the buckets bs.
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

// wanted returns what ms knows of the nodes in wants.
func wanted(ms []*member, wants []uint32) (rs []Record, os []Opinion) {
	want := make(map[uint32]bool, len(wants))
	for _, w := range wants {
		want[w] = true
	}
	for _, m := range ms {
		if want[stampOf(m).node()] {
			rs, os = m.tell(rs, os)
		}
	}
	return rs, os
}

// tell appends what is known of m.
func (m *member) tell(rs []Record, os []Opinion) ([]Record, []Opinion) {
	if m.health != Dead {
		rs = append(rs, m.Record)
	}
	if m.health != Alive {
		os = append(os, m.opinion())
	}
	return rs, os
}

// adopt learns from an exchange; few records are passed on as news.
func (g *Gossip) adopt(rs []Record, os []Opinion) {
	if len(rs)+len(os) <= bulk {
		g.learn(rs, os)
		return
	}
	for _, r := range rs {
		if addressOf(r.Node) == g.addr {
			g.learnRecord(r)
			continue
		}
		if taken, _ := g.table.record(r, time.Now()); taken {
			g.touch()
		}
	}
	for _, o := range os {
		if o.Node == g.self {
			g.learnOpinion(o)
			continue
		}
		g.noteOpinion(o)
	}
}

// HandleExchange answers one step of an exchange.
func (g *Gossip) HandleExchange(r ExchangeRequest) ExchangeReply {
	g.adopt(r.Records, r.Opinions)
	switch {
	case len(r.Tops) == topBuckets:
		return ExchangeReply{Tops: g.view.Load().differingTops(r.Tops)}
	case len(r.Buckets) > 0:
		return answerBuckets(g.table.all(), r.Buckets)
	default:
		return ExchangeReply{}
	}
}

// differingTops returns the top buckets that differ from tops.
func (v *view) differingTops(tops []uint64) []Top {
	var out []Top
	for i, d := range v.tops() {
		if d != tops[i] {
			out = append(out, Top{Index: i, Digests: v.digests[i*bucketsPerTop : (i+1)*bucketsPerTop]})
		}
	}
	return out
}

// answerBuckets returns what ms knows better than the stamps in bs, and what
// the asking side may know better.
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
		res.Records, res.Opinions = m.tell(res.Records, res.Opinions)
		if ok {
			res.Wants = append(res.Wants, mine.node())
		}
	}
	for n := range theirs {
		res.Wants = append(res.Wants, n)
	}
	return res
}
