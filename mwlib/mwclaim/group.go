package mwclaim

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwstore"
)

// serviceName is the name of a GroupService among the peers' services.
const serviceName = "Claim"

// GroupRequest asks a node to write a row with those of other nodes.
type GroupRequest struct {
	Put Put
	// Timeout is how long the asking node waits.
	Timeout time.Duration
}

// GroupReply is what became of the write.
type GroupReply struct {
	Revision mwid.Revision
	Code     mwcode.Code
}

// GroupService writes rows for other nodes.
type GroupService struct {
	l *Ledger
}

// Group writes one row.
func (s *GroupService) Group(q GroupRequest, a *GroupReply) error {
	if !strings.HasPrefix(string(q.Put.Key), string(rowPrefix)) {
		a.Code = mwcode.BadRequest
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
	defer cancel()
	rev, err := s.l.writeHere(ctx, q.Put)
	a.Revision, a.Code = rev, mwcode.Of(err)
	return nil
}

// group hands rows to the few nodes that write for all. Each row has one
// writer, picked by rendezvous hash among the nodes that this one knows. Two
// nodes that know different ones pick different writers; the table still
// decides, so that costs transactions and never safety. A writer that can't be
// reached is left alone for a while, and this node writes for itself.
type group struct {
	o     groupOptions
	local writer
	stat  *stats
	avoid *mwshard.Map[mwid.Address, time.Time]

	mu      sync.Mutex
	writers []mwid.Address
	until   time.Time
}

// groupOptions say with which nodes rows are grouped.
type groupOptions struct {
	self    mwid.Address
	peers   mwkernel.Peers
	known   func() []mwid.Address
	writers int
	wait    time.Duration // wait bounds the wait for a writer.
}

// Times of a group.
const (
	// pickPeriod is how long a choice of writers holds.
	pickPeriod = time.Second
	// avoidPeriod is how long a silent writer is left alone.
	avoidPeriod = 5 * time.Second
	// DefaultGroupWait bounds the wait for a writer.
	DefaultGroupWait = 2 * time.Second
	// replyParts is the part of its wait, one of replyParts, that a node
	// leaves to the writer's reply.
	replyParts = 5
)

// WithGroup lets rows be written by n of the nodes in known, which is this
// node's choice of peers without itself; self is its own address.
func WithGroup(p mwkernel.Peers, self mwid.Address, known func() []mwid.Address, n int) Option {
	return func(o *options) {
		o.group = groupOptions{self: self, peers: p, known: known, writers: n, wait: DefaultGroupWait}
	}
}

// WithGroupWait bounds the wait for a writer; it goes after WithGroup.
func WithGroupWait(d time.Duration) Option { return func(o *options) { o.group.wait = d } }

// newGroup makes l serve and use a group.
func newGroup(l *Ledger, o groupOptions) (*group, error) {
	if err := o.peers.Handle(serviceName, &GroupService{l}); err != nil {
		return nil, err
	}
	return &group{
		o: o, local: l.writeHere, stat: l.stat,
		avoid: mwshard.New[mwid.Address, time.Time](1),
	}, nil
}

// write writes p by its writer, as lane.write does.
func (g *group) write(ctx context.Context, p Put) (mwid.Revision, error) {
	w := g.writerOf(p.Key, time.Now())
	if w == g.o.self {
		return g.local(ctx, p)
	}
	rev, err := g.ask(ctx, w, p)
	switch mwcode.Of(err) {
	case mwcode.StoreAway: // The writer may be cut off where this node is not.
		g.leaveAlone(w)
		return g.local(ctx, p)
	case mwcode.StoreUnknown:
		g.leaveAlone(w)
	}
	return rev, err
}

func (g *group) leaveAlone(w mwid.Address) {
	g.avoid.Set(w, time.Now().Add(avoidPeriod))
}

// ask lets w write p.
func (g *group) ask(ctx context.Context, w mwid.Address, p Put) (mwid.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, g.o.wait)
	defer cancel()
	d, _ := ctx.Deadline()
	wait := time.Until(d)
	q := GroupRequest{Put: p, Timeout: wait - wait/replyParts}
	var a GroupReply
	if err := g.o.peers.Call(ctx, w, serviceName+".Group", q, &a); err != nil {
		g.stat.silent.Inc()
		return 0, mwcode.New(mwcode.StoreUnknown, mwcode.Wrap(err))
	}
	g.stat.grouped.Inc()
	if a.Code != mwcode.OK {
		return 0, mwcode.New(a.Code)
	}
	return a.Revision, nil
}

// writerOf returns the writer of a row: this node where the picked one was
// silent lately.
func (g *group) writerOf(k mwstore.Key, now time.Time) mwid.Address {
	ws := g.pick(now)
	w := ws[xxhash.Sum64String(string(k))%uint64(len(ws))]
	if t, ok := g.avoid.Get(w); ok && now.Before(t) {
		return g.o.self
	}
	return w
}

// pick returns the writers: for each place the known node with the greatest
// hash of the place and its address.
func (g *group) pick(now time.Time) []mwid.Address {
	if ws := g.picked(now); ws != nil {
		return ws
	}
	known := append(g.o.known(), g.o.self)
	ws := make([]mwid.Address, g.o.writers)
	for i := range ws {
		ws[i] = rendezvous(strconv.Itoa(i), known)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writers, g.until = ws, now.Add(pickPeriod)
	return ws
}

func (g *group) picked(now time.Time) []mwid.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.until) {
		return g.writers
	}
	return nil
}

// rendezvous returns the address with the greatest hash for place.
func rendezvous(place string, as []mwid.Address) mwid.Address {
	var best mwid.Address
	var most uint64
	for _, a := range as {
		if h := xxhash.Sum64String(place + "/" + string(a)); best == "" || h > most {
			best, most = a, h
		}
	}
	return best
}
