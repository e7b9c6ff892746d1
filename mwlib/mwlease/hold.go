package mwlease

import (
	"context"
	"encoding/json"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwtimer"
)

// readRow reads the row of the lease. A lease without a row is free.
func (l *Lease) readRow(ctx context.Context) (state, mwid.Revision, error) {
	row, err := l.table.Get(ctx, l.key)
	if mwcode.CodeOf(err) == mwcode.NotFound {
		return state{Free: true}, 0, nil
	}
	if err != nil {
		return state{}, 0, err
	}
	var s state
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return state{}, 0, mwcode.New(mwcode.BadDocument, mwcode.Wrap(err))
	}
	return s, row.Revision, nil
}

// txn returns a transaction that writes s over revision rev.
func (l *Lease) txn(s state, rev mwid.Revision) mwstore.Txn {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // Every field of a state can be encoded.
	}
	return mwstore.Txn{
		Checks: []mwstore.Check{{Key: l.key, Revision: rev}},
		Writes: []mwstore.Write{{Key: l.key, Value: b}},
	}
}

// fencedTxn is like txn, with the fence. A revision alone doesn't say whose row it is: a
// store that comes back from a copy gives revisions out again.
func (l *Lease) fencedTxn(s state, rev mwid.Revision) mwstore.Txn {
	t := l.txn(s, rev)
	t.Checks = append(t.Checks, l.Fence())
	return t
}

// sighting is a row as a waiter read it. Both parts differ for each write; the revision
// alone does not if the store comes back from a copy.
type sighting struct {
	state
	rev mwid.Revision
}

// acquire waits until the lease is free, or until its row has not changed in any read
// for the TTL, and takes it.
func (l *Lease) acquire(ctx context.Context) error {
	var watched sighting
	var since time.Time
	for {
		s, rev, err := l.readRow(ctx)
		now, seen := time.Now(), sighting{s, rev}
		switch {
		case err != nil:
			// The row may change meanwhile and be as before in a copy of the store.
			watched = sighting{}
		case s.Free || seen == watched && now.Sub(since) >= s.TTL:
			if l.tryAcquire(ctx, s, rev) {
				return nil
			}
		case seen != watched:
			watched, since = seen, now
		}
		if err := wait(ctx, l.ttl/renewDivisor); err != nil {
			return mwcode.New(mwcode.LeaseLost, mwcode.Wrap(err))
		}
	}
}

// tryAcquire writes this holder to the row if the row, read as s, has revision rev. The
// same transaction writes this holder's fence row, whose new revision is the token, and
// deletes that of the last holder.
func (l *Lease) tryAcquire(ctx context.Context, s state, rev mwid.Revision) (done bool) {
	t := l.txn(l.state(), rev)
	t.Writes = append(t.Writes, mwstore.Write{Key: l.fenceKey(l.holder), Value: []byte(l.holder)})
	if s.Holder != "" && !l.addLastFence(ctx, &t, s) {
		return false
	}
	sent := time.Now()
	r, err := l.table.Commit(ctx, t)
	newRev := r.Revision
	switch mwcode.CodeOf(err) {
	case mwcode.OK:
	case mwcode.StoreUnknown:
		s, cur, err := l.readRow(ctx)
		if err != nil || s.Holder != l.holder || s.Free {
			return false
		}
		newRev = cur
	default:
		return false // acquire retries.
	}
	l.token, l.rev, l.renewedAt = Token(newRev), newRev, sent
	return true
}

// addLastFence adds to t that the fence row of the last holder, named by s, still exists,
// as the revision of the lease's row doesn't say whose row it is, and that another holder
// deletes it. It returns false if the row is gone or can't be read.
func (l *Lease) addLastFence(ctx context.Context, t *mwstore.Txn, s state) bool {
	k := l.fenceKey(s.Holder)
	row, err := l.table.Get(ctx, k)
	if mwcode.CodeOf(err) == mwcode.NotFound && s.Write == "" {
		return true // Holders of an earlier build have no such row.
	}
	if err != nil {
		return false
	}
	t.Checks = append(t.Checks, mwstore.Check{Key: k, Revision: row.Revision})
	if s.Holder != l.holder {
		t.Writes = append(t.Writes, mwstore.Write{Key: k, Delete: true})
	}
	return true
}

// state returns the row of one write.
func (l *Lease) state() state {
	return state{Holder: l.holder, TTL: l.ttl, Write: WriteID(mwid.NewAttemptID())}
}

// renew renews the lease and reports whether it is still held.
func (l *Lease) renew(ctx context.Context) bool {
	if l.Held() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, l.ttl/renewDivisor)
	defer cancel()
	l.mu.Lock()
	rev := l.rev
	l.mu.Unlock()
	sent := time.Now()
	r, err := l.table.Commit(ctx, l.fencedTxn(l.state(), rev))
	switch mwcode.CodeOf(err) {
	case mwcode.OK:
		l.setRenewed(r.Revision, sent)
	case mwcode.Conflict: // The row has another revision, maybe a lower one.
		l.checkRenewal(ctx, 0)
	case mwcode.StoreUnknown:
		l.checkRenewal(ctx, rev)
	}
	return l.Held() == nil
}

func (l *Lease) setRenewed(rev mwid.Revision, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev, l.renewedAt = rev, sent
}

// checkRenewal reads the row after a renewal conflicted or had an unknown outcome. A read
// of a revision below least is stale. If the row still names this holder, the time at
// which a renewal took effect is unknown, so the lease is still counted from the last
// write known to be accepted.
func (l *Lease) checkRenewal(ctx context.Context, least mwid.Revision) {
	s, cur, err := l.readRow(ctx)
	if err != nil || cur < least {
		return // A failed or stale read gives no information.
	}
	mine := s.Holder == l.holder && !s.Free
	if !mine {
		// The read may still be stale; a transaction is not.
		_, err = l.table.Commit(ctx, mwstore.Txn{Checks: []mwstore.Check{l.Fence()}})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case mine:
		l.rev = cur
	case mwcode.CodeOf(err) == mwcode.Conflict:
		l.markLost()
	}
}

// releaseTimeout is the timeout of the write that releases a lease.
const releaseTimeout = 2 * time.Second

// release writes that the lease is free. If the write fails, the lease expires.
func (l *Lease) release() {
	l.mu.Lock()
	ended, rev := l.ended, l.rev
	l.markLost()
	l.mu.Unlock()
	if ended {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s := l.state()
	s.Free = true
	_, _ = l.table.Commit(ctx, l.fencedTxn(s, rev))
}

// wait waits for d. If ctx is done first, it returns the cause.
func wait(ctx context.Context, d time.Duration) error {
	if !mwtimer.Sleep(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}
