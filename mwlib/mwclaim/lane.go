package mwclaim

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwstoreclient"
	"mustardwheel.example/mwlib/mwtimer"
)

// Put is a write of one row on the condition that the row has a revision; 0
// means that there is no row.
type Put struct {
	Key      mwstore.Key
	Value    []byte
	Revision mwid.Revision
	// Lazy tells that no call waits for the write, so that it may wait for
	// others that have to be written anyway.
	Lazy bool
}

// lazyWait is the longest time that lazy writes wait for others.
const lazyWait = 250 * time.Millisecond

// put is a Put that waits in a lane.
type put struct {
	Put
	state  atomic.Int32   // state is waiting, sent or gone.
	result chan putResult // result has room for one.
}

// States of a put.
const (
	waiting int32 = iota
	sent
	gone // gone tells that nobody waits any more; it must not be sent.
)

type putResult struct {
	revision mwid.Revision
	err      error
}

// lane writes many rows in one transaction. While a transaction is on its
// way, rows for the next one gather, so that the number of transactions is
// bounded by the store's own latency and the window, not by the number of
// calls.
//
// A transaction whose check fails writes nothing, also not the rows beside
// it. The lane then reads the rows, answers those that are in conflict, and
// tries again with the others. No transaction has two writes of one row,
// since the second one would overwrite the first unseen.
type lane struct {
	table   mwstore.Table
	window  *window
	timeout time.Duration
	batch   int
	stat    *stats
	in      chan *put
	ended   chan struct{}
	later   []*put // later are puts whose row is in the present batch.
}

// newLane returns a lane; the returned function ends it. What waits then is
// answered with mwcode.StoreAway.
func newLane(t mwstore.Table, o options, st *stats) (*lane, func()) {
	l := &lane{
		table: t, window: newWindow(o.window), timeout: o.timeout, batch: max(1, o.batch),
		stat: st, in: make(chan *put), ended: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(mwstoreclient.WithUse(context.Background(), mwstoreclient.Claims))
	go func() {
		defer close(l.ended)
		for {
			ps := l.collect(ctx)
			if ctx.Err() != nil {
				answerAll(append(ps, l.later...), putResult{err: mwcode.New(mwcode.StoreAway)})
				return
			}
			if !l.commit(ctx, marked(ps)) {
				l.rest(ctx)
			}
		}
	}()
	return l, func() { cancel(); <-l.ended }
}

// write writes p and returns the row's new revision. Errors: mwcode.Conflict
// where the row has another revision; mwcode.StoreAway and mwcode.StoreSlow
// where nothing was written; mwcode.StoreUnknown.
func (l *lane) write(ctx context.Context, p Put) (mwid.Revision, error) {
	w := &put{Put: p, result: make(chan putResult, 1)}
	select {
	case l.in <- w:
	case <-l.ended:
		return 0, mwcode.New(mwcode.StoreAway)
	case <-ctx.Done():
		return 0, mwcode.New(mwcode.StoreAway, mwcode.Wrap(context.Cause(ctx)))
	}
	select {
	case r := <-w.result:
		return r.revision, r.err
	case <-ctx.Done():
		if w.state.CompareAndSwap(waiting, gone) {
			return 0, mwcode.New(mwcode.StoreSlow, mwcode.Wrap(context.Cause(ctx)))
		}
		return 0, mwcode.New(mwcode.StoreUnknown, mwcode.Wrap(context.Cause(ctx)))
	}
}

// collect gathers the next batch: it waits for one put, and then for more
// until the window is over or the batch is full.
func (l *lane) collect(ctx context.Context) []*put {
	b := &gathering{keys: mwset.New[mwstore.Key](), lazy: true}
	ps := l.later
	l.later = nil
	for _, p := range ps {
		l.take(b, p)
	}
	if len(b.puts) == 0 {
		select {
		case p := <-l.in:
			l.take(b, p)
		case <-ctx.Done():
			return nil
		}
	}
	t := mwtimer.NewTimer(l.wait(b))
	defer t.Stop()
	for len(b.puts) < l.batch {
		select {
		case p := <-l.in:
			lazy := b.lazy
			l.take(b, p)
			if lazy && !b.lazy {
				t.Reset(l.wait(b))
			}
		case <-t.C:
			return b.puts
		case <-ctx.Done():
			return b.puts
		}
	}
	return b.puts
}

// wait returns how long b is collected.
func (l *lane) wait(b *gathering) time.Duration {
	if b.lazy {
		return max(l.window.length, lazyWait)
	}
	return l.window.length
}

// gathering is a batch that is being collected.
type gathering struct {
	puts []*put
	keys mwset.Set[mwstore.Key]
	lazy bool // lazy tells that all puts are.
}

// take adds p to b, or keeps it for later where b has its row. It leaves out
// what nobody waits for.
func (l *lane) take(b *gathering, p *put) {
	if p.state.Load() == gone {
		return
	}
	if b.keys.Has(p.Key) || len(b.puts) >= l.batch {
		l.later = append(l.later, p)
		return
	}
	b.keys.Add(p.Key)
	b.lazy = b.lazy && p.Lazy
	b.puts = append(b.puts, p)
}

// marked marks puts as sent and leaves out those that nobody waits for.
func marked(ps []*put) []*put {
	return slices.DeleteFunc(ps, func(p *put) bool { return !p.state.CompareAndSwap(waiting, sent) })
}

// commit writes ps and answers each. It returns false where the store was
// too busy; the puts are then kept for later.
func (l *lane) commit(ctx context.Context, ps []*put) bool {
	for len(ps) > 0 {
		l.stat.transactions.Inc()
		l.stat.rows.Add(len(ps))
		r, err := l.send(ctx, ps)
		switch code := mwcode.Of(err); {
		case code == mwcode.OK:
			answerAll(ps, putResult{revision: r.Revision})
			return true
		case code == mwcode.StoreSlow:
			l.keep(ps)
			return false
		case code != mwcode.Conflict || len(ps) == 1:
			answerAll(ps, putResult{err: err})
			return true
		}
		rest := l.sift(ctx, ps)
		if len(rest) == len(ps) {
			half := len(ps) / 2
			if !l.commit(ctx, ps[:half]) {
				l.keep(ps[half:])
				return false
			}
			rest = ps[half:]
		}
		ps = rest
	}
	return true
}

// keep keeps puts of which nothing was written for the next batch.
func (l *lane) keep(ps []*put) {
	for _, p := range ps {
		p.state.Store(waiting)
	}
	l.later = append(ps, l.later...)
}

// busyPause is the pause after the store was too busy.
const busyPause = 20 * time.Millisecond

// rest waits for busyPause.
func (l *lane) rest(ctx context.Context) { mwtimer.Sleep(ctx, busyPause) }

// send runs one transaction of ps.
func (l *lane) send(ctx context.Context, ps []*put) (mwstore.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	start := time.Now()
	r, err := l.table.Commit(ctx, txnOf(ps))
	l.window.observe(time.Since(start), mwcode.Of(err))
	return r, err
}

// siftReads bounds the reads that sift has on their way.
const siftReads = 16

// sift answers the puts of ps that are in conflict and returns the others.
func (l *lane) sift(ctx context.Context, ps []*put) []*put {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	clash := make([]bool, len(ps))
	var g errgroup.Group
	g.SetLimit(siftReads)
	for i, p := range ps {
		g.Go(func() error {
			rev, err := revisionOf(ctx, l.table, p.Key)
			clash[i] = err == nil && rev != p.Revision
			return nil // What can't be read is tried again.
		})
	}
	_ = g.Wait() // No function returns an error.
	var rest []*put
	for i, p := range ps {
		if clash[i] {
			p.result <- putResult{err: mwcode.New(mwcode.Conflict)}
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

// revisionOf returns the revision of a row, 0 where there is none.
func revisionOf(ctx context.Context, t mwstore.Table, k mwstore.Key) (mwid.Revision, error) {
	row, err := t.Get(ctx, k)
	if mwcode.Of(err) == mwcode.NotFound {
		return 0, nil
	}
	return row.Revision, err
}

func txnOf(ps []*put) mwstore.Txn {
	var t mwstore.Txn
	for _, p := range ps {
		t.Checks = append(t.Checks, mwstore.Check{Key: p.Key, Revision: p.Revision})
		t.Writes = append(t.Writes, mwstore.Write{Key: p.Key, Value: p.Value})
	}
	return t
}

func answerAll(ps []*put, r putResult) {
	for _, p := range ps {
		p.result <- r
	}
}
