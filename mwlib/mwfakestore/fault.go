package mwfakestore

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Faults configures the faults that a Store injects. The zero value injects
// none. Each ratio is the fraction, 0 to 1, of the requests to which the fault
// applies.
type Faults struct {
	// Unavailable refuses all requests as if the store was unreachable. The
	// answers of writes that are in progress are lost.
	Unavailable bool
	// RateExceeded refuses all requests as if the rate limit was exceeded.
	RateExceeded bool
	// Delay is the latency of each answer. A write takes effect after half
	// of it.
	Delay time.Duration
	// Lost is the fraction of writes that take effect but whose answer is lost.
	Lost mwunit.Ratio
	// Dropped is the fraction of writes that are lost before they take effect.
	// A client can't distinguish them from writes whose answer is lost.
	Dropped mwunit.Ratio
	// Late is the fraction of abandoned writes that take effect nevertheless,
	// Delay after they were abandoned. A write is abandoned if its context is
	// done before the write takes effect.
	Late mwunit.Ratio
	// Stale is the fraction of single-row reads that return the row in its
	// state before its last write.
	Stale mwunit.Ratio
}

// Kind is the kind of a write.
type Kind int

// Kinds of writes.
const (
	// Commit is a transaction of the table.
	Commit Kind = iota
	// Put stores an object.
	Put
	numKinds
)

// Usage counts the requests to a Store.
type Usage struct {
	Reads        int // single rows, scans and objects read
	Transactions int // transactions, conflicting ones included
	Conflicts    int // transactions with a failed check
	Rows         int // rows in all those transactions
	Puts         int // objects stored
	Refused      int // requests refused: rate exceeded, store unavailable or closed, or context done
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// LoseAnswers makes s lose the answers of the next n writes of kind k. The writes
// take effect.
func (s *Store) LoseAnswers(k Kind, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext[k] = n
}

// Usage returns the counts of requests so far.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

// draw returns true with probability r. The caller must hold s.mu.
func (s *Store) draw(r mwunit.Ratio) bool {
	return r > 0 && s.random.Float64() < float64(r)
}

// admit refuses a request if s is closed, ctx is done, the fault Unavailable or
// RateExceeded is set, or ok, the result of the rate limiters, is false. The
// caller must hold s.mu.
func (s *Store) admit(ctx context.Context, ok bool) error {
	switch {
	case s.closed || s.faults.Unavailable || ctx.Err() != nil:
		s.usage.Refused++
		return mwcode.New(mwcode.StoreAway, mwcode.Wrap(context.Cause(ctx)))
	case !ok || s.faults.RateExceeded:
		s.usage.Refused++
		return mwcode.New(mwcode.StoreSlow)
	}
	return nil
}

// startRead admits one read and delays it by Faults.Delay.
func (s *Store) startRead(ctx context.Context) error {
	s.mu.Lock()
	err := s.admit(ctx, allow(s.reads, 1))
	if err == nil {
		s.usage.Reads++
	}
	d := s.faults.Delay
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if wait(ctx, d) != nil {
		return mwcode.New(mwcode.StoreAway, mwcode.Wrap(context.Cause(ctx)))
	}
	return nil
}

// writeFaults holds the faults drawn for one write.
type writeFaults struct {
	delay   time.Duration
	lost    bool
	dropped bool
	late    bool
}

// startWrite admits one write and draws its faults.
func (s *Store) startWrite(ctx context.Context, k Kind, rows int) (writeFaults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(ctx, allow(s.writes, 1) && (rows == 0 || allow(s.rows, rows))); err != nil {
		return writeFaults{}, err
	}
	if k == Commit {
		s.usage.Transactions++
		s.usage.Rows += rows
	} else {
		s.usage.Puts++
	}
	f := writeFaults{
		delay: s.faults.Delay, lost: s.draw(s.faults.Lost),
		dropped: s.draw(s.faults.Dropped), late: s.draw(s.faults.Late),
	}
	if s.loseNext[k] > 0 {
		s.loseNext[k]--
		f.lost, f.dropped = true, false
	}
	return f, nil
}

// write executes one write, with apply as its effect, under its faults.
func (s *Store) write(
	ctx context.Context, k Kind, rows int, apply func() (mwstore.Receipt, error),
) (mwstore.Receipt, error) {
	f, err := s.startWrite(ctx, k, rows)
	if err != nil {
		return mwstore.Receipt{}, err
	}
	unknown := mwcode.New(mwcode.StoreUnknown)
	if wait(ctx, f.delay/2) != nil {
		if f.late {
			s.applyLater(f.delay, apply)
		}
		return mwstore.Receipt{}, unknown
	}
	if f.dropped {
		return mwstore.Receipt{}, unknown
	}
	s.mu.Lock()
	r, err := apply()
	s.mu.Unlock()
	if wait(ctx, f.delay/2) != nil || f.lost || s.Faults().Unavailable {
		return mwstore.Receipt{}, unknown
	}
	return r, err
}

// applyLater calls apply once d has passed, unless s is closed by then.
func (s *Store) applyLater(d time.Duration, apply func() (mwstore.Receipt, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.lateWrites, t)
		if !s.closed {
			_, _ = apply() // No client waits for the result.
		}
	})
	s.lateWrites[t] = struct{}{}
}

// wait waits for d. If ctx is done first, wait returns ctx.Err().
func wait(ctx context.Context, d time.Duration) error {
	if d > 0 && !mwtimer.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
