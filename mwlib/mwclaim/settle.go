package mwclaim

import (
	"context"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// settler writes the final records of claims that could not be written in time:
// that the claimant did not run, or its answer. Records that still can't be
// written when the node stops are lost. The rows then stay as they are in the
// table. This is safe, but a key may stay Claimed permanently.
type settler struct {
	l     *Ledger
	debts *mwshard.Map[ClaimantID, debt]
	held  atomic.Int64 // total size of the objects in debts, in bytes
	wake  chan struct{}
}

// debt is a record that still has to be written.
type debt struct {
	c    *claim
	rec  Record
	kept mwcall.Kept // object that must be stored before rec
}

// Limits of the unwritten records of one node.
const (
	maxDebts                    = 4096
	maxDebtObjects mwunit.Bytes = 16 << 20 // all objects together
)

// Bounds of the pause between two rounds of writes.
const (
	minSettlePause = time.Second
	maxSettlePause = 30 * time.Second
)

// settleTimeout is the timeout for writing one record.
const settleTimeout = 5 * time.Second

func newSettler(l *Ledger) (*settler, func()) {
	s := &settler{
		l: l, debts: mwshard.New[ClaimantID, debt](mwshard.DefaultShards),
		wake: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-s.wake:
				s.payAll(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return s, func() { cancel(); <-done; s.payLast() }
}

// lastTimeout is the timeout of the last round of writes, when the node stops.
const lastTimeout = 2 * time.Second

// payLast runs a last round, since records that are not written now are lost.
func (s *settler) payLast() {
	ctx, cancel := context.WithTimeout(context.Background(), lastTimeout)
	defer cancel()
	s.payRound(ctx)
	if n := s.debts.Len(); n > 0 {
		s.l.o.log.Warn("final claim records not written before the node stopped; rows stay unchanged", "Count", n)
	}
}

func (s *settler) add(c *claim, r Record) { s.addWith(c, r, nil) }

// addWith adds a record whose answer k must be stored as an object first. It
// drops the record if the limits are reached.
func (s *settler) addWith(c *claim, r Record, k mwcall.Kept) {
	size := int64(len(k))
	if s.debts.Len() >= maxDebts || s.held.Load()+size > int64(maxDebtObjects) {
		s.l.stat.dropped.Inc()
		s.l.o.log.Warn("too many unwritten claim records; record dropped, row stays unchanged", "Row", c.key, "Claimant", r.Claimant, "State", r.State)
		return
	}
	s.held.Add(size)
	s.debts.Set(r.Claimant, debt{c, r, k})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// payAll runs rounds of writes until no record remains, with growing pauses
// while the table is unavailable.
func (s *settler) payAll(ctx context.Context) {
	pause := minSettlePause
	for {
		paid := s.payRound(ctx)
		if s.debts.Len() == 0 {
			return
		}
		if paid {
			pause = minSettlePause
		}
		if !mwtimer.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxSettlePause)
	}
}

// payRound writes records until the table proves unavailable. It reports whether
// the table was available throughout.
func (s *settler) payRound(ctx context.Context) bool {
	ok := true
	s.debts.Range(func(id ClaimantID, d debt) bool {
		ok = s.pay(ctx, id, d)
		return ok
	})
	return ok
}

// pay writes d. It reports whether the record is resolved: written, or refused
// because the row belongs to another claimant.
func (s *settler) pay(ctx context.Context, id ClaimantID, d debt) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	err := s.write(ctx, d)
	switch mwcode.Of(err) {
	case mwcode.OK:
		s.l.stat.settled.Inc()
	case mwcode.Conflict:
		s.l.stat.clash.Inc()
		s.l.o.log.Error("cannot write final claim record: row belongs to another claimant", "Row", d.c.key, "Claimant", id, "State", d.rec.State)
	default:
		return false
	}
	s.debts.Delete(id)
	s.held.Add(-int64(len(d.kept)))
	return true
}

func (s *settler) write(ctx context.Context, d debt) error {
	if d.kept != nil {
		if err := s.l.store.PutObject(ctx, d.rec.Object, d.kept); err != nil {
			return err
		}
	}
	return d.c.overwrite(ctx, d.rec)
}
