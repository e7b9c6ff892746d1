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

// settler writes what could not be written in time: that a claimant did not
// run, or the answer that it has. What can't be written at the node's end
// either is lost; the keys then stay as the table has them, which is safe, and
// may stay Claimed for good.
type settler struct {
	l     *Ledger
	debts *mwshard.Map[ClaimantID, debt]
	held  atomic.Int64 // held is the size of all objects in debts, in bytes.
	wake  chan struct{}
}

// debt is one record that is still to be written.
type debt struct {
	c    *claim
	rec  Record
	kept mwcall.Kept // kept is the object that must be stored before rec.
}

// Bounds of the debts of one node.
const (
	maxDebts                    = 4096
	maxDebtObjects mwunit.Bytes = 16 << 20 // maxDebtObjects bounds all objects together.
)

// Bounds of the time between two tries to write debts.
const (
	minSettlePause = time.Second
	maxSettlePause = 30 * time.Second
)

// settleTimeout bounds one write of a debt.
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

// lastTimeout bounds the last try to write debts, at the node's end.
const lastTimeout = 2 * time.Second

// payLast tries once more, since what is not written now never will be.
func (s *settler) payLast() {
	ctx, cancel := context.WithTimeout(context.Background(), lastTimeout)
	defer cancel()
	s.payRound(ctx)
	if n := s.debts.Len(); n > 0 {
		s.l.o.log.Warn("claims left as they are", "Count", n)
	}
}

func (s *settler) add(c *claim, r Record) { s.addWith(c, r, nil) }

// addWith adds a record whose answer k must be stored as an object first.
func (s *settler) addWith(c *claim, r Record, k mwcall.Kept) {
	size := int64(len(k))
	if s.debts.Len() >= maxDebts || s.held.Load()+size > int64(maxDebtObjects) {
		s.l.stat.dropped.Inc()
		s.l.o.log.Warn("claim left as it is", "Row", c.key, "Claimant", r.Claimant, "State", r.State)
		return
	}
	s.held.Add(size)
	s.debts.Set(r.Claimant, debt{c, r, k})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// payAll writes debts until none is left, with growing pauses while the
// table is away.
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

// payRound tries each debt until the table turns out to be away; it tells
// whether it is not.
func (s *settler) payRound(ctx context.Context) bool {
	ok := true
	s.debts.Range(func(id ClaimantID, d debt) bool {
		ok = s.pay(ctx, id, d)
		return ok
	})
	return ok
}

// pay writes d and tells whether that worked.
func (s *settler) pay(ctx context.Context, id ClaimantID, d debt) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	err := s.write(ctx, d)
	switch mwcode.Of(err) {
	case mwcode.OK:
		s.l.stat.settled.Inc()
	case mwcode.Conflict:
		s.l.stat.clash.Inc()
		s.l.o.log.Error("row has another claimant", "Row", d.c.key, "Claimant", id, "State", d.rec.State)
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
