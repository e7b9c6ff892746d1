package mwadmit

import (
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwlane"
	"mustardwheel.example/mwlib/mwlimit"
	"mustardwheel.example/mwlib/mwqueue"
	"mustardwheel.example/mwlib/mwunit"
)

// gate decides for one service which calls start, and when. It is the shard
// of the admission's state: a gate has a lock of its own, and no call to one
// service waits for the lock of another's gate.
//
// A service is not split further. What must hold at one backend server, that
// no order is shed while browsing gets in, needs all of its calls in one
// order, and a decision takes far less time than the work that it is about.
//
// After each step under the lock, no call waits that could start.
type gate[P mwlimit.Policy] struct {
	mu      sync.Mutex
	cfg     *config
	stat    *gateStats
	limiter *mwlimit.Limiter[P]
	slots   *mwlane.Slots
	// announced is the number of slots that the backend server says it has.
	announced mwunit.Slots
	plain     *band
	retired   map[mwconfig.DocumentName]*band
}

// Least capacities of queues.
const (
	usualLeast mwunit.Slots = 4
	// fewLeast is for a retired interface and for long work: their few slots
	// would else lose calls to each burst.
	fewLeast mwunit.Slots = 16
)

func newGate[P mwlimit.Policy](cfg *config, stat *gateStats, p P, a mwcall.Announcement) *gate[P] {
	l := mwlimit.New(p, a.Slots, a.Connections)
	g := &gate[P]{
		cfg: cfg, stat: stat, limiter: l, announced: a.Slots,
		slots:   mwlane.New(a.Slots, cfg.mediumShare, cfg.longShare),
		plain:   newBand(0, unbounded, cfg.queue),
		retired: make(map[mwconfig.DocumentName]*band),
	}
	g.slots.SetLimit(l.Limit(), a.Slots)
	return g
}

// bound takes a new announcement.
func (g *gate[P]) bound(now time.Time, a mwcall.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announced = a.Slots
	g.limiter.Bound(a.Slots, a.Connections)
	g.adjust(now)
}

// enter takes a call that came and will probably take service. The code is
// OK where the call may start or has to wait for the ticket's verdict.
func (g *gate[P]) enter(now time.Time, c *mwcall.Call, service time.Duration) (*ticket, mwcode.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &ticket{band: g.bandOf(c), lane: mwlane.Of(c.Class.Length), caller: c.Caller}
	t.entry = mwqueue.Entry[*ticket]{
		Value: t, Key: mwqueue.Key{Priority: c.Class.Priority, Share: t.band.arrive(c.Caller)},
		Came: now, Deadline: c.Deadline, Service: service,
	}
	if code := g.fit(now, t); code != mwcode.OK {
		g.end(t)
		return nil, code
	}
	free := t.band.open() && g.slots.Free(t.lane)
	if free && t.band.queues[t.lane].Len() == 0 {
		g.start(t)
		return t, mwcode.OK
	}
	t, code := g.enqueue(t)
	if free { // A new configuration raised the ceiling while others wait.
		g.pump(now)
	}
	return t, code
}

// enqueue lets t wait, and sheds what is worst where the queue is full.
func (g *gate[P]) enqueue(t *ticket) (*ticket, mwcode.Code) {
	q := t.band.queues[t.lane]
	n := g.capacity(t.band, t.lane)
	q.SetBounds(n, max(g.cfg.wait, time.Duration(n)*g.interval(t.band, t.lane)))
	shed := q.Push(&t.entry)
	if shed == nil {
		t.verdict = make(chan mwcode.Code, 1)
		return t, mwcode.OK
	}
	code := g.shedCode(shed.Value)
	g.end(shed.Value)
	if shed.Value == t {
		return nil, code
	}
	t.verdict = make(chan mwcode.Code, 1)
	shed.Value.refuse(code)
	return t, mwcode.OK
}

// shedCode returns why t can't wait: what keeps it from starting.
func (g *gate[P]) shedCode(t *ticket) mwcode.Code {
	switch {
	case !t.band.open():
		return mwcode.RetiredCeiling
	case t.lane == mwlane.Long && g.slots.Full(mwlane.Long):
		return mwcode.LaneFull
	}
	return mwcode.Overloaded
}

// bandOf returns the band of c with the bounds of c's configuration.
func (g *gate[P]) bandOf(c *mwcall.Call) *band {
	v := &c.Class.Verdict
	if v.Retired == "" {
		return g.plain
	}
	b, ok := g.retired[v.Retired]
	if !ok {
		b = newBand(v.Floor, v.Ceiling, g.cfg.queue)
		b.callers = make(map[mwid.CallerName]mwunit.Slots)
		g.retired[v.Retired] = b
	}
	if c.Class.Version >= b.version {
		b.version, b.floor, b.ceiling = c.Class.Version, v.Floor, v.Ceiling
	}
	return b
}

// fit tells whether t can be done in time.
func (g *gate[P]) fit(now time.Time, t *ticket) mwcode.Code {
	var wait time.Duration
	if !t.band.open() || !g.slots.Free(t.lane) {
		wait = g.wait(t)
	}
	return g.fitCode(now, t, wait)
}

// fitCode returns the code for t, which has to wait for wait. While no call
// of its lane is in flight, what it will take counts as unknown: the estimate
// may be old, and only a call that runs can correct it.
func (g *gate[P]) fitCode(now time.Time, t *ticket, wait time.Duration) mwcode.Code {
	service := t.entry.Service
	if g.slots.UsedBy(t.lane) == 0 {
		service = 0
	}
	switch mwqueue.Check(now, t.entry.Deadline, wait, service) {
	case mwqueue.Passed:
		return mwcode.DeadlinePassed
	case mwqueue.TooShort:
		return mwcode.DeadlineTooShort
	}
	return mwcode.OK
}

// wait returns how long t would probably wait: for those ahead of it in its
// queue, at the rate at which its lane's slots become free.
func (g *gate[P]) wait(t *ticket) time.Duration {
	ahead := t.band.queues[t.lane].Ahead(t.entry.Key) + 1
	return time.Duration(ahead) * g.interval(t.band, t.lane)
}

// interval returns the mean time between two slots that become free for
// calls of b in lane l.
func (g *gate[P]) interval(b *band, l mwlane.Lane) time.Duration {
	width := min(g.slots.Bound(l), max(b.ceiling, 1))
	return b.paces[l].mean / time.Duration(width)
}

// capacity returns how many calls of b may wait in lane l: as many as can
// start within the longest wait, so that what has no hope to start is
// refused at once and may try elsewhere.
func (g *gate[P]) capacity(b *band, l mwlane.Lane) mwunit.Slots {
	each := g.interval(b, l)
	if each <= 0 {
		return g.cfg.queue
	}
	n, least := mwunit.Slots(g.cfg.wait/each), usualLeast
	if b != g.plain || l == mwlane.Long {
		least = fewLeast
	}
	return min(max(n, least), g.cfg.queue)
}

// start lets t run.
func (g *gate[P]) start(t *ticket) {
	g.slots.Take(t.lane)
	t.band.inFlight++
	t.inFlight = g.slots.Used()
	t.start()
}

// leave takes back a ticket whose caller does not wait any longer. It
// returns the code that the call ends with; gone is that of a call which
// waited still or could have started.
func (g *gate[P]) leave(now time.Time, t *ticket, gone mwcode.Code) mwcode.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case queued:
		t.band.queues[t.lane].Remove(&t.entry)
		g.end(t)
	case running:
		g.free(t)
		g.pump(now)
	case ended:
		return <-t.verdict
	}
	return gone
}

// release ends a call that ran. It does nothing and returns false the second
// time.
func (g *gate[P]) release(now time.Time, t *ticket, s mwcall.Sample) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != running {
		return false
	}
	g.free(t)
	if s.Took > 0 && !s.Cancelled {
		t.band.paces[t.lane] = t.band.paces[t.lane].note(now, s.Took)
	}
	s.InFlight = t.inFlight
	if t.lane == mwlane.Short {
		g.limiter.Observe(now, s)
	}
	g.adjust(now)
	return true
}

// free gives the slot of t back.
func (g *gate[P]) free(t *ticket) {
	g.slots.Give(t.lane)
	t.band.inFlight--
	g.end(t)
}

// end notes that t is not here any more.
func (g *gate[P]) end(t *ticket) {
	t.state = ended
	t.band.depart(t.caller)
	g.forget(t.band)
}

// forget drops the band of a retired interface when nothing of it is left.
func (g *gate[P]) forget(b *band) {
	if b == g.plain || !b.idle() {
		return
	}
	for n, r := range g.retired {
		if r == b {
			delete(g.retired, n)
		}
	}
}

// adjust follows the limiter and starts what may start.
func (g *gate[P]) adjust(now time.Time) {
	g.slots.SetLimit(g.limiter.Limit(), g.announced)
	g.pump(now)
}

// load returns the present state.
func (g *gate[P]) load() mwkernel.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := mwkernel.Load{
		Limit: g.slots.Limit(), InFlight: g.slots.Used(),
		Threshold: g.plain.queues[mwlane.Short].Threshold(), Hold: g.plain.paces[mwlane.Short].mean,
	}
	for b := range g.bands() {
		l.Queued += b.waiting()
	}
	return l
}
