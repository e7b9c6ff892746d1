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

// Put is a conditional write of one row. It succeeds only if the row has the
// given revision; revision 0 means that there must be no row.
type Put struct {
	Key      mwstore.Key
	Value    []byte
	Revision mwid.Revision
	// Lazy is set if no call waits for the write. The write may then wait to
	// share a transaction with writes that are not lazy.
	Lazy bool
}

// lazyWindow is the minimum time for which a batch with only lazy writes is
// collected.
const lazyWindow = 250 * time.Millisecond

// queuedPut is a Put queued in a lane.
type queuedPut struct {
	Put
	state  atomic.Int32   // waiting, sent or abandoned
	result chan putResult // buffered, for one result
}

// States of a queuedPut.
const (
	waiting int32 = iota
	sent
	abandoned // Nobody waits for the result any more, so the put must not be sent.
)

type putResult struct {
	revision mwid.Revision
	err      error
}

// lane writes many rows in one transaction. While a transaction is in flight,
// the lane collects rows for the next one. The rate of transactions is thus
// limited by the store's latency and the window, not by the number of calls.
//
// A transaction whose check fails writes nothing, including the rows without a
// conflict. The lane then reads the rows, answers the puts that are in conflict
// and retries the others. No transaction has two writes of one row, since the
// second would silently overwrite the first.
type lane struct {
	table    mwstore.Table
	window   *window
	timeout  time.Duration
	batch    int
	stat     *stats
	in       chan *queuedPut
	stopped  chan struct{}
	deferred []*queuedPut // for the next batch
}

// newLane starts a lane. The returned function stops it; puts that are still
// queued are then answered with mwcode.StoreAway.
func newLane(t mwstore.Table, o options, st *stats) (*lane, func()) {
	l := &lane{
		table: t, window: newWindow(o.window), timeout: o.timeout, batch: max(1, o.batch),
		stat: st, in: make(chan *queuedPut), stopped: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(mwstoreclient.WithUse(context.Background(), mwstoreclient.Claims))
	go func() {
		defer close(l.stopped)
		for {
			ps := l.collect(ctx)
			if ctx.Err() != nil {
				answerAll(append(ps, l.deferred...), putResult{err: mwcode.New(mwcode.StoreAway)})
				return
			}
			if !l.commit(ctx, markSent(ps)) {
				l.pauseBusy(ctx)
			}
		}
	}()
	return l, func() { cancel(); <-l.stopped }
}

// write writes p and returns the row's new revision. It returns mwcode.Conflict
// if the row has another revision, mwcode.StoreAway or mwcode.StoreSlow if
// nothing was written, and mwcode.StoreUnknown if the outcome is unknown.
func (l *lane) write(ctx context.Context, p Put) (mwid.Revision, error) {
	w := &queuedPut{Put: p, result: make(chan putResult, 1)}
	select {
	case l.in <- w:
	case <-l.stopped:
		return 0, mwcode.New(mwcode.StoreAway)
	case <-ctx.Done():
		return 0, mwcode.New(mwcode.StoreAway, mwcode.Wrap(context.Cause(ctx)))
	}
	select {
	case r := <-w.result:
		return r.revision, r.err
	case <-ctx.Done():
		if w.state.CompareAndSwap(waiting, abandoned) {
			return 0, mwcode.New(mwcode.StoreSlow, mwcode.Wrap(context.Cause(ctx)))
		}
		return 0, mwcode.New(mwcode.StoreUnknown, mwcode.Wrap(context.Cause(ctx)))
	}
}

// collect returns the next batch. It waits for one put, and then for more until
// the window ends or the batch is full.
func (l *lane) collect(ctx context.Context) []*queuedPut {
	b := &openBatch{keys: mwset.New[mwstore.Key](), lazy: true}
	ps := l.deferred
	l.deferred = nil
	for _, p := range ps {
		l.add(b, p)
	}
	if len(b.puts) == 0 {
		select {
		case p := <-l.in:
			l.add(b, p)
		case <-ctx.Done():
			return nil
		}
	}
	t := mwtimer.NewTimer(l.collectTime(b))
	defer t.Stop()
	for len(b.puts) < l.batch {
		select {
		case p := <-l.in:
			lazy := b.lazy
			l.add(b, p)
			if lazy && !b.lazy {
				t.Reset(l.collectTime(b))
			}
		case <-t.C:
			return b.puts
		case <-ctx.Done():
			return b.puts
		}
	}
	return b.puts
}

// collectTime returns how long to collect b.
func (l *lane) collectTime(b *openBatch) time.Duration {
	if b.lazy {
		return max(l.window.length, lazyWindow)
	}
	return l.window.length
}

// openBatch is a batch that is being collected.
type openBatch struct {
	puts []*queuedPut
	keys mwset.Set[mwstore.Key]
	lazy bool // whether all puts are lazy
}

// add adds p to b, or defers it to the next batch if b is full or already has
// its row. It drops puts that nobody waits for.
func (l *lane) add(b *openBatch, p *queuedPut) {
	if p.state.Load() == abandoned {
		return
	}
	if b.keys.Has(p.Key) || len(b.puts) >= l.batch {
		l.deferred = append(l.deferred, p)
		return
	}
	b.keys.Add(p.Key)
	b.lazy = b.lazy && p.Lazy
	b.puts = append(b.puts, p)
}

// markSent marks puts as sent. It returns them without those that nobody waits
// for.
func markSent(ps []*queuedPut) []*queuedPut {
	return slices.DeleteFunc(ps, func(p *queuedPut) bool { return !p.state.CompareAndSwap(waiting, sent) })
}

// commit writes ps and answers each put. It returns false if the store was too
// busy; the puts not yet answered are then deferred to the next batch. If a
// transaction conflicts but no row is found to have another revision, its halves
// are committed separately.
func (l *lane) commit(ctx context.Context, ps []*queuedPut) bool {
	for len(ps) > 0 {
		l.stat.transactions.Inc()
		l.stat.rows.Add(len(ps))
		r, err := l.runTxn(ctx, ps)
		switch code := mwcode.CodeOf(err); {
		case code == mwcode.OK:
			answerAll(ps, putResult{revision: r.Revision})
			return true
		case code == mwcode.StoreSlow:
			l.deferPuts(ps)
			return false
		case code != mwcode.Conflict || len(ps) == 1:
			answerAll(ps, putResult{err: err})
			return true
		}
		rest := l.rejectConflicts(ctx, ps)
		if len(rest) == len(ps) {
			half := len(ps) / 2
			if !l.commit(ctx, ps[:half]) {
				l.deferPuts(ps[half:])
				return false
			}
			rest = ps[half:]
		}
		ps = rest
	}
	return true
}

// deferPuts defers puts to the next batch. The store must not have written any
// of them.
func (l *lane) deferPuts(ps []*queuedPut) {
	for _, p := range ps {
		p.state.Store(waiting)
	}
	l.deferred = append(ps, l.deferred...)
}

// busyPause is the pause after the store refused a transaction as too busy.
const busyPause = 20 * time.Millisecond

// pauseBusy pauses for busyPause, or until ctx is done.
func (l *lane) pauseBusy(ctx context.Context) { mwtimer.Sleep(ctx, busyPause) }

// runTxn writes ps in one transaction.
func (l *lane) runTxn(ctx context.Context, ps []*queuedPut) (mwstore.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	start := time.Now()
	r, err := l.table.Commit(ctx, txnOf(ps))
	l.window.observe(time.Since(start), mwcode.CodeOf(err))
	return r, err
}

// maxConflictReads is the maximum number of concurrent reads in rejectConflicts.
const maxConflictReads = 16

// rejectConflicts answers the puts of ps that are in conflict and returns the
// others.
func (l *lane) rejectConflicts(ctx context.Context, ps []*queuedPut) []*queuedPut {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	conflict := make([]bool, len(ps))
	var g errgroup.Group
	g.SetLimit(maxConflictReads)
	for i, p := range ps {
		g.Go(func() error {
			rev, err := revisionOf(ctx, l.table, p.Key)
			conflict[i] = err == nil && rev != p.Revision
			return nil // A put whose row can't be read is retried.
		})
	}
	_ = g.Wait() // No function returns an error.
	var rest []*queuedPut
	for i, p := range ps {
		if conflict[i] {
			p.result <- putResult{err: mwcode.New(mwcode.Conflict)}
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

// revisionOf returns the revision of a row, or 0 if there is none.
func revisionOf(ctx context.Context, t mwstore.Table, k mwstore.Key) (mwid.Revision, error) {
	row, err := t.Get(ctx, k)
	if mwcode.CodeOf(err) == mwcode.NotFound {
		return 0, nil
	}
	return row.Revision, err
}

func txnOf(ps []*queuedPut) mwstore.Txn {
	var t mwstore.Txn
	for _, p := range ps {
		t.Checks = append(t.Checks, mwstore.Check{Key: p.Key, Revision: p.Revision})
		t.Writes = append(t.Writes, mwstore.Write{Key: p.Key, Value: p.Value})
	}
	return t
}

func answerAll(ps []*queuedPut, r putResult) {
	for _, p := range ps {
		p.result <- r
	}
}
