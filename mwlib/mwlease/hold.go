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

// look reads the row of the lease; without a row the lease is free.
func (l *Lease) look(ctx context.Context) (state, mwid.Revision, error) {
	row, err := l.table.Get(ctx, l.key)
	if mwcode.Of(err) == mwcode.NotFound {
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

// acquire waits until the lease is free or its row stays unchanged, and
// takes it.
func (l *Lease) acquire(ctx context.Context) error {
	var watched mwid.Revision
	var from time.Time
	for {
		s, rev, err := l.look(ctx)
		now := time.Now()
		switch {
		case err != nil:
		case s.Free || rev == watched && now.Sub(from) >= s.TTL:
			if done, err := l.take(ctx, rev); done || err != nil {
				return err
			}
		case rev != watched:
			watched, from = rev, now
		}
		if err := wait(ctx, l.ttl/renewParts); err != nil {
			return mwcode.New(mwcode.LeaseLost, mwcode.Wrap(err))
		}
	}
}

// take writes this holder over revision rev of the row, and the fence row
// with it, whose revision is the token.
func (l *Lease) take(ctx context.Context, rev mwid.Revision) (done bool, err error) {
	t := l.txn(l.state(), rev)
	t.Writes = append(t.Writes, mwstore.Write{Key: fenceKey(l.key), Value: []byte(l.holder)})
	sent := time.Now()
	r, err := l.table.Commit(ctx, t)
	now := r.Revision
	switch mwcode.Of(err) {
	case mwcode.OK:
	case mwcode.StoreUnknown:
		s, cur, err := l.look(ctx)
		if err != nil || s.Holder != l.holder || s.Free {
			return false, nil
		}
		now = cur
	default:
		return false, nil // Another try follows.
	}
	l.token, l.rev, l.since = Token(now), now, sent
	return true, nil
}

func (l *Lease) state() state { return state{Holder: l.holder, TTL: l.ttl} }

// renew renews the lease and tells whether it still holds.
func (l *Lease) renew(ctx context.Context) bool {
	if l.Held() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, l.ttl/renewParts)
	defer cancel()
	l.mu.Lock()
	rev := l.rev
	l.mu.Unlock()
	sent := time.Now()
	r, err := l.table.Commit(ctx, l.txn(l.state(), rev))
	switch mwcode.Of(err) {
	case mwcode.OK:
		l.renewed(r.Revision, sent)
	case mwcode.Conflict, mwcode.StoreUnknown:
		l.reread(ctx, rev)
	}
	return l.Held() == nil
}

func (l *Lease) renewed(rev mwid.Revision, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev, l.since = rev, sent
}

// reread finds out what became of a renewal over rev. A renewal that took
// effect at an unknown instant counts as sent when its forerunner was, which
// leaves since as it is.
func (l *Lease) reread(ctx context.Context, rev mwid.Revision) {
	s, cur, err := l.look(ctx)
	if err != nil || cur < rev {
		return // A stale read tells nothing.
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Holder != l.holder || s.Free {
		l.end()
		return
	}
	l.rev = cur
}

// releaseTimeout bounds the write that gives a lease back.
const releaseTimeout = 2 * time.Second

// release gives the lease back. Where that fails, it lapses.
func (l *Lease) release() {
	l.mu.Lock()
	over, rev := l.over, l.rev
	l.end()
	l.mu.Unlock()
	if over {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s := l.state()
	s.Free = true
	_, _ = l.table.Commit(ctx, l.txn(s, rev))
}

// wait waits for d, or until ctx is done, whose error it returns.
func wait(ctx context.Context, d time.Duration) error {
	if !mwtimer.Sleep(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}
