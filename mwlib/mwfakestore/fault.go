package mwfakestore

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Faults are the faults that a Store shows. The zero value shows none. All
// ratios are parts of the requests that the fault applies to, 0 to 1.
type Faults struct {
	// Away refuses everything.
	Away bool
	// Slow refuses everything as if the rate was used up.
	Slow bool
	// Delay is the time that each answer takes; a write takes effect at the
	// half of it.
	Delay time.Duration
	// Lost is the part of writes that take effect and whose answer is lost.
	Lost mwunit.Ratio
	// Dropped is the part of writes that are lost before they take effect,
	// so that the client can't tell them from Lost.
	Dropped mwunit.Ratio
	// Late is the part of writes that take effect only after their client
	// has given up on them, of those whose client gives up.
	Late mwunit.Ratio
	// Stale is the part of single-row reads that show the row as it was
	// before its last write.
	Stale mwunit.Ratio
}

// Kind tells the kinds of writes apart.
type Kind int

// Kinds of writes.
const (
	// Commit is a transaction of the table.
	Commit Kind = iota
	// Put stores an object.
	Put
	kinds
)

// Usage counts what clients asked of a Store.
type Usage struct {
	Reads        int // Reads counts rows read one by one, scans and objects read.
	Transactions int // Transactions counts transactions, with conflicting ones.
	Conflicts    int // Conflicts counts transactions whose check failed.
	Rows         int // Rows counts rows in all transactions.
	Puts         int // Puts counts objects that were stored.
	Refused      int // Refused counts requests over a rate or while away.
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the present faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Lose loses the answers of the next n writes of kind k, which take effect.
func (s *Store) Lose(k Kind, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose[k] = n
}

// Usage returns what was asked of s so far.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

// draw returns true for a part r of its calls, under the lock.
func (s *Store) draw(r mwunit.Ratio) bool {
	return r > 0 && s.random.Float64() < float64(r)
}

// admit refuses a request under the lock where the faults or ok say so.
func (s *Store) admit(ctx context.Context, ok bool) error {
	switch {
	case s.closed || s.faults.Away || ctx.Err() != nil:
		s.usage.Refused++
		return mwcode.New(mwcode.StoreAway, mwcode.Wrap(context.Cause(ctx)))
	case !ok || s.faults.Slow:
		s.usage.Refused++
		return mwcode.New(mwcode.StoreSlow)
	}
	return nil
}

// read admits and delays one read.
func (s *Store) read(ctx context.Context) error {
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

// fate is what becomes of one write.
type fate struct {
	delay   time.Duration
	lost    bool
	dropped bool
	late    bool
}

// start admits one write and draws its fate.
func (s *Store) start(ctx context.Context, k Kind, rows int) (fate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admit(ctx, allow(s.writes, 1) && (rows == 0 || allow(s.rows, rows))); err != nil {
		return fate{}, err
	}
	if k == Commit {
		s.usage.Transactions++
		s.usage.Rows += rows
	} else {
		s.usage.Puts++
	}
	f := fate{
		delay: s.faults.Delay, lost: s.draw(s.faults.Lost),
		dropped: s.draw(s.faults.Dropped), late: s.draw(s.faults.Late),
	}
	if s.lose[k] > 0 {
		s.lose[k]--
		f.lost, f.dropped = true, false
	}
	return f, nil
}

// write runs one write that apply applies.
func (s *Store) write(
	ctx context.Context, k Kind, rows int, apply func() (mwstore.Receipt, error),
) (mwstore.Receipt, error) {
	f, err := s.start(ctx, k, rows)
	if err != nil {
		return mwstore.Receipt{}, err
	}
	unknown := mwcode.New(mwcode.StoreUnknown)
	if wait(ctx, f.delay/2) != nil {
		if f.late {
			s.after(f.delay, apply)
		}
		return mwstore.Receipt{}, unknown
	}
	if f.dropped {
		return mwstore.Receipt{}, unknown
	}
	s.mu.Lock()
	r, err := apply()
	s.mu.Unlock()
	if wait(ctx, f.delay/2) != nil || f.lost || s.Faults().Away {
		return mwstore.Receipt{}, unknown
	}
	return r, err
}

// after runs apply when d has passed, unless s is closed before.
func (s *Store) after(d time.Duration, apply func() (mwstore.Receipt, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.late, t)
		if !s.closed {
			_, _ = apply() // The client has gone.
		}
	})
	s.late[t] = struct{}{}
}

// wait waits for d, or until ctx is done, whose error it returns.
func wait(ctx context.Context, d time.Duration) error {
	if d > 0 && !mwtimer.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
