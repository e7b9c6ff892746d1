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

// serviceName is the name under which peers call GroupService.
const serviceName = "Claim"

// GroupRequest asks a node to write a row in a transaction with rows of other
// nodes.
type GroupRequest struct {
	Put Put
	// Timeout limits the write. It is shorter than the requesting node's wait.
	Timeout time.Duration
}

// GroupReply is the result of the write.
type GroupReply struct {
	Revision mwid.Revision
	Code     mwcode.Code
}

// GroupService writes rows for other nodes.
type GroupService struct {
	l *Ledger
}

// Group writes the row of q. It refuses keys that do not belong to claims with
// mwcode.BadRequest.
func (s *GroupService) Group(q GroupRequest, a *GroupReply) (err error) {
	defer s.l.o.panics.ContainAs("Claim.Group", &err)
	if !strings.HasPrefix(string(q.Put.Key), string(rowPrefix)) {
		a.Code = mwcode.BadRequest
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
	defer cancel()
	rev, err := s.l.writeLocal(ctx, q.Put)
	a.Revision, a.Code = rev, mwcode.CodeOf(err)
	return nil
}

// group sends rows to the few nodes that write for all nodes. Each row has one
// writer, selected by rendezvous hashing among the nodes known to this one.
// Nodes that know different sets of nodes may select different writers. This can
// cause additional transactions but grants no key twice, since the table still
// decides every race. A writer that can't be reached is avoided for avoidPeriod;
// meanwhile this node writes that writer's rows itself.
type group struct {
	o          groupOptions
	local      writeFunc
	stat       *stats
	avoidUntil *mwshard.Map[mwid.Address, time.Time]

	mu           sync.Mutex
	writers      []mwid.Address
	writersUntil time.Time
}

// groupOptions configure a group.
type groupOptions struct {
	self    mwid.Address
	peers   mwkernel.Peers
	known   func() []mwid.Address
	writers int
	wait    time.Duration // maximum wait for a writer
}

// Timing of a group.
const (
	// selectionPeriod is how long a selection of writers is used.
	selectionPeriod = time.Second
	// avoidPeriod is how long a writer is avoided after it failed to reply or
	// could not reach the table.
	avoidPeriod = 5 * time.Second
	// DefaultGroupWait is the default maximum wait for a writer.
	DefaultGroupWait = 2 * time.Second
	// replyDivisor divides a node's wait: 1/replyDivisor of it is reserved for
	// the transfer of the writer's reply.
	replyDivisor = 5
)

// WithGroup makes up to n nodes write the rows of all nodes. known returns the
// addresses of the other nodes that this node knows. The writers are selected
// among them and this node, whose address is self.
func WithGroup(p mwkernel.Peers, self mwid.Address, known func() []mwid.Address, n int) Option {
	return func(o *options) {
		o.group = groupOptions{self: self, peers: p, known: known, writers: n, wait: DefaultGroupWait}
	}
}

// WithGroupWait sets the maximum wait for a writer. It must follow WithGroup.
func WithGroupWait(d time.Duration) Option { return func(o *options) { o.group.wait = d } }

// newGroup registers the GroupService of l with the peers and returns a group
// that writes for l.
func newGroup(l *Ledger, o groupOptions) (*group, error) {
	if err := o.peers.Handle(serviceName, &GroupService{l}); err != nil {
		return nil, err
	}
	return &group{
		o: o, local: l.writeLocal, stat: l.stat,
		avoidUntil: mwshard.New[mwid.Address, time.Time](1),
	}, nil
}

// write writes p through its writer, with the results and errors of lane.write.
func (g *group) write(ctx context.Context, p Put) (mwid.Revision, error) {
	w := g.writerOf(p.Key, time.Now())
	if w == g.o.self {
		return g.local(ctx, p)
	}
	rev, err := g.requestWrite(ctx, w, p)
	switch mwcode.CodeOf(err) {
	case mwcode.StoreAway: // This node may reach the table even if the writer can't.
		g.avoidWriter(w)
		return g.local(ctx, p)
	case mwcode.StoreUnknown:
		g.avoidWriter(w)
	}
	return rev, err
}

func (g *group) avoidWriter(w mwid.Address) {
	g.avoidUntil.Set(w, time.Now().Add(avoidPeriod))
}

// requestWrite asks w to write p.
func (g *group) requestWrite(ctx context.Context, w mwid.Address, p Put) (mwid.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, g.o.wait)
	defer cancel()
	d, _ := ctx.Deadline()
	wait := time.Until(d)
	q := GroupRequest{Put: p, Timeout: wait - wait/replyDivisor}
	var a GroupReply
	if err := g.o.peers.Call(ctx, w, serviceName+".Group", q, &a); err != nil {
		g.stat.noReply.Inc()
		return 0, mwcode.New(mwcode.StoreUnknown, mwcode.Wrap(err))
	}
	g.stat.grouped.Inc()
	if a.Code != mwcode.OK {
		return 0, mwcode.New(a.Code)
	}
	return a.Revision, nil
}

// writerOf returns the writer of a row, or this node if that writer is avoided.
func (g *group) writerOf(k mwstore.Key, now time.Time) mwid.Address {
	ws := g.selectWriters(now)
	w := ws[xxhash.Sum64String(string(k))%uint64(len(ws))]
	if t, ok := g.avoidUntil.Get(w); ok && now.Before(t) {
		return g.o.self
	}
	return w
}

// selectWriters returns the writers, one per slot. The writer of a slot is the
// known node with the greatest hash of the slot and its address.
func (g *group) selectWriters(now time.Time) []mwid.Address {
	if ws := g.cachedWriters(now); ws != nil {
		return ws
	}
	known := append(g.o.known(), g.o.self)
	ws := make([]mwid.Address, g.o.writers)
	for i := range ws {
		ws[i] = rendezvous(strconv.Itoa(i), known)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writers, g.writersUntil = ws, now.Add(selectionPeriod)
	return ws
}

func (g *group) cachedWriters(now time.Time) []mwid.Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.writersUntil) {
		return g.writers
	}
	return nil
}

// rendezvous returns the address with the greatest hash for slot.
func rendezvous(slot string, as []mwid.Address) mwid.Address {
	var best mwid.Address
	var maxHash uint64
	for _, a := range as {
		if h := xxhash.Sum64String(slot + "/" + string(a)); best == "" || h > maxHash {
			best, maxHash = a, h
		}
	}
	return best
}
