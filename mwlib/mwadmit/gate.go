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

// gate decides which calls to one service start, and when. The state of an
// admission is sharded by service: each gate has its own lock, so calls to
// different services never contend for one.
//
// A service is not sharded further. A call for an order must not be shed while a
// browsing call is admitted at the same backend server, which requires a single
// ranking of all calls of the service. A decision takes far less time than the
// work that it admits.
//
// Invariant: whenever mu is unlocked, no queued call is eligible to start.
type gate[P mwlimit.Policy] struct {
	mu      sync.Mutex
	cfg     *config
	stat    *gateStats
	limiter *mwlimit.Limiter[P]
	slots   *mwlane.Slots
	// announced is the number of slots that the backend server has announced.
	announced mwunit.Slots
	current   *partition // current holds the calls that are not on a retired interface.
	retired   map[mwconfig.DocumentName]*partition
}

// Minimum capacities of queues.
const (
	minCapacity mwunit.Slots = 4
	// minCapacityFewSlots applies to retired interfaces and to long work. These
	// have few slots, and a smaller queue would lose calls in every burst.
	minCapacityFewSlots mwunit.Slots = 16
)

func newGate[P mwlimit.Policy](cfg *config, stat *gateStats, p P, a mwcall.Announcement) *gate[P] {
	l := mwlimit.New(p, a.Slots, a.Connections)
	g := &gate[P]{
		cfg: cfg, stat: stat, limiter: l, announced: a.Slots,
		slots:   mwlane.New(a.Slots, cfg.mediumShare, cfg.longShare),
		current: newPartition(0, unbounded, cfg.queue),
		retired: make(map[mwconfig.DocumentName]*partition),
	}
	g.slots.SetLimit(l.Limit(), a.Slots)
	return g
}

// applyAnnouncement applies a new announcement.
func (g *gate[P]) applyAnnouncement(now time.Time, a mwcall.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announced = a.Slots
	g.limiter.SetBounds(a.Slots, a.Connections)
	g.applyLimit(now)
}

// enter starts, queues or refuses a new call; service is its expected service
// time. The code is OK if the call was started, or if it was queued and has to
// wait for the ticket's verdict.
func (g *gate[P]) enter(now time.Time, c *mwcall.Call, service time.Duration) (*ticket, mwcode.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &ticket{partition: g.partitionOf(c), lane: mwlane.ForLength(c.Class.Length), caller: c.Caller}
	t.entry = mwqueue.Entry[*ticket]{
		Value: t, Key: mwqueue.Key{Priority: c.Class.Priority, Share: t.partition.addCall(c.Caller)},
		Arrived: now, Deadline: c.Deadline, Service: service,
	}
	if code := g.checkDeadline(now, t); code != mwcode.OK {
		g.finish(t)
		return nil, code
	}
	free := t.partition.belowCeiling() && g.slots.Free(t.lane)
	if free && t.partition.queues[t.lane].Len() == 0 {
		g.start(t)
		return t, mwcode.OK
	}
	t, code := g.enqueue(t)
	if free { // A newer configuration raised the ceiling while calls were queued.
		g.startQueued(now)
	}
	return t, code
}

// enqueue queues t. If the queue is full, it refuses the entry that the queue
// sheds, which may be t itself.
func (g *gate[P]) enqueue(t *ticket) (*ticket, mwcode.Code) {
	q := t.partition.queues[t.lane]
	n := g.capacity(t.partition, t.lane)
	q.SetBounds(n, max(g.cfg.wait, time.Duration(n)*g.slotInterval(t.partition, t.lane)))
	shed := q.Push(&t.entry)
	if shed == nil {
		t.verdict = make(chan mwcode.Code, 1)
		return t, mwcode.OK
	}
	code := g.shedCode(shed.Value)
	g.finish(shed.Value)
	if shed.Value == t {
		return nil, code
	}
	t.verdict = make(chan mwcode.Code, 1)
	shed.Value.refuse(code)
	return t, mwcode.OK
}

// shedCode returns the code for refusing t, which names the bound that keeps t
// from starting.
func (g *gate[P]) shedCode(t *ticket) mwcode.Code {
	switch {
	case !t.partition.belowCeiling():
		return mwcode.RetiredCeiling
	case t.lane == mwlane.Long && g.slots.Full(mwlane.Long):
		return mwcode.LaneFull
	}
	return mwcode.Overloaded
}

// partitionOf returns the partition of c. It sets the bounds of the partition
// from the configuration of c, unless they come from a newer one.
func (g *gate[P]) partitionOf(c *mwcall.Call) *partition {
	v := &c.Class.Verdict
	if v.Retired == "" {
		return g.current
	}
	p, ok := g.retired[v.Retired]
	if !ok {
		p = newPartition(v.Floor, v.Ceiling, g.cfg.queue)
		p.callers = make(map[mwid.CallerName]mwunit.Slots)
		g.retired[v.Retired] = p
	}
	if c.Class.Version >= p.version {
		p.version, p.floor, p.ceiling = c.Class.Version, v.Floor, v.Ceiling
	}
	return p
}

// checkDeadline returns OK if t is expected to finish by its deadline, and
// otherwise the code for its refusal.
func (g *gate[P]) checkDeadline(now time.Time, t *ticket) mwcode.Code {
	var wait time.Duration
	if !t.partition.belowCeiling() || !g.slots.Free(t.lane) {
		wait = g.expectedWait(t)
	}
	return g.checkDeadlineAfter(now, t, wait)
}

// checkDeadlineAfter does the same as checkDeadline, for a given wait in the
// queue. If no call of the lane is in flight, the service time counts as
// unknown, that is, 0: the estimate may be outdated, and only a call that runs
// can correct it.
func (g *gate[P]) checkDeadlineAfter(now time.Time, t *ticket, wait time.Duration) mwcode.Code {
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

// expectedWait returns the expected time of t in the queue: the time until
// enough slots of its lane have become free for the entries ahead of it and for
// t itself.
func (g *gate[P]) expectedWait(t *ticket) time.Duration {
	ahead := t.partition.queues[t.lane].Ahead(t.entry.Key) + 1
	return time.Duration(ahead) * g.slotInterval(t.partition, t.lane)
}

// slotInterval returns the mean time between two slots becoming free for calls
// of p in lane l.
func (g *gate[P]) slotInterval(p *partition, l mwlane.Lane) time.Duration {
	width := min(g.slots.Bound(l), max(p.ceiling, 1))
	return p.holdTimes[l].mean / time.Duration(width)
}

// capacity returns how many calls of p may wait in lane l: as many as can start
// within the maximum wait, but at least minCapacity or minCapacityFewSlots. A
// call beyond that has little chance to start. The queue therefore sheds a call
// at once, so that it can be retried at another target.
func (g *gate[P]) capacity(p *partition, l mwlane.Lane) mwunit.Slots {
	each := g.slotInterval(p, l)
	if each <= 0 {
		return g.cfg.queue
	}
	n, minimum := mwunit.Slots(g.cfg.wait/each), minCapacity
	if p != g.current || l == mwlane.Long {
		minimum = minCapacityFewSlots
	}
	return min(max(n, minimum), g.cfg.queue)
}

// start takes a slot for t and starts it.
func (g *gate[P]) start(t *ticket) {
	g.slots.Acquire(t.lane)
	t.partition.inFlight++
	t.inFlight = g.slots.Used()
	t.start()
}

// withdraw ends t, whose caller has stopped waiting. It returns gone if t was
// queued or had just been started, and the code of the refusal if t had already
// been refused.
func (g *gate[P]) withdraw(now time.Time, t *ticket, gone mwcode.Code) mwcode.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case queued:
		t.partition.queues[t.lane].Remove(&t.entry)
		g.finish(t)
	case running:
		g.releaseSlot(t)
		g.startQueued(now)
	case ended:
		return <-t.verdict
	}
	return gone
}

// refuseQueued refuses all queued calls with code.
func (g *gate[P]) refuseQueued(code mwcode.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for p := range g.partitions() {
		for _, q := range p.queues {
			for q.Len() > 0 {
				t := q.Pop().Value
				g.finish(t)
				t.refuse(code)
			}
		}
	}
}

// release frees the slot of a call that has run, and records its sample. It
// reports whether t was running; if not, it does nothing, so that a second
// release has no effect.
func (g *gate[P]) release(now time.Time, t *ticket, s mwcall.Sample) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.state != running {
		return false
	}
	g.releaseSlot(t)
	if s.Took > 0 && !s.Cancelled {
		t.partition.holdTimes[t.lane] = t.partition.holdTimes[t.lane].observe(now, s.Took)
	}
	s.InFlight = t.inFlight
	if t.lane == mwlane.Short {
		g.limiter.Observe(now, s)
	}
	g.applyLimit(now)
	return true
}

// releaseSlot releases the slot of t and finishes t.
func (g *gate[P]) releaseSlot(t *ticket) {
	g.slots.Release(t.lane)
	t.partition.inFlight--
	g.finish(t)
}

// finish marks t as ended and removes it from the counts of its partition.
func (g *gate[P]) finish(t *ticket) {
	t.state = ended
	t.partition.removeCall(t.caller)
	g.deleteIfIdle(t.partition)
}

// deleteIfIdle deletes the partition of a retired interface once it is idle.
func (g *gate[P]) deleteIfIdle(p *partition) {
	if p == g.current || !p.idle() {
		return
	}
	for n, r := range g.retired {
		if r == p {
			delete(g.retired, n)
		}
	}
}

// applyLimit applies the limit of the limiter and starts the queued calls that
// it allows.
func (g *gate[P]) applyLimit(now time.Time) {
	g.slots.SetLimit(g.limiter.Limit(), g.announced)
	g.startQueued(now)
}

// load returns the current load. Its threshold and hold time are those of short
// calls that are not on a retired interface.
func (g *gate[P]) load() mwkernel.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := mwkernel.Load{
		Limit: g.slots.Limit(), InFlight: g.slots.Used(),
		Threshold: g.current.queues[mwlane.Short].Threshold(), Hold: g.current.holdTimes[mwlane.Short].mean,
	}
	for p := range g.partitions() {
		l.Queued += p.queueLen()
	}
	return l
}
