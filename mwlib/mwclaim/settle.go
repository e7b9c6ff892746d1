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

// settler writes final records of claims (in state NotRun or Done) in the
// background: records whose first write failed, and records of claimants that
// gave up. Records that still can't be written when the node stops are lost, and
// their rows stay unchanged. This is safe, but a key may stay Claimed permanently.
type settler struct {
	l           *Ledger
	pending     *mwshard.Map[ClaimantID, pendingRecord]
	objectBytes atomic.Int64 // total size of the objects in pending, in bytes
	wake        chan struct{}
}

// pendingRecord is a record that still has to be written.
type pendingRecord struct {
	c      *claim
	rec    Record
	answer mwcall.EncodedAnswer // object that must be stored before rec
}

// Limits of the unwritten records of one node.
const (
	maxPending                     = 4096
	maxPendingObjects mwunit.Bytes = 16 << 20 // all objects together
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
		l: l, pending: mwshard.New[ClaimantID, pendingRecord](mwshard.DefaultShards),
		wake: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-s.wake:
				s.writeAll(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return s, func() { cancel(); <-done; s.writeFinal() }
}

// finalTimeout is the timeout of the last round of writes, when the node stops.
const finalTimeout = 2 * time.Second

// writeFinal runs a last round, since records that are not written now are lost.
func (s *settler) writeFinal() {
	ctx, cancel := context.WithTimeout(context.Background(), finalTimeout)
	defer cancel()
	s.writeRound(ctx)
	if n := s.pending.Len(); n > 0 {
		s.l.o.log.Warn("final claim records not written before the node stopped; rows stay unchanged", "Count", n)
	}
}

func (s *settler) add(c *claim, r Record) { s.addWithObject(c, r, nil) }

// addWithObject adds record r. If a is not nil, it must be stored as an object
// before r. addWithObject drops r if a limit of the unwritten records would be
// exceeded.
func (s *settler) addWithObject(c *claim, r Record, a mwcall.EncodedAnswer) {
	size := int64(len(a))
	if s.pending.Len() >= maxPending || s.objectBytes.Load()+size > int64(maxPendingObjects) {
		s.l.stat.dropped.Inc()
		s.l.o.log.Warn("too many unwritten claim records; record dropped, row stays unchanged",
			"Row", c.key, "Claimant", r.Claimant, "State", r.State)
		return
	}
	s.objectBytes.Add(size)
	s.pending.Set(r.Claimant, pendingRecord{c, r, a})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// writeAll runs rounds of writes until no record remains, with growing pauses
// while the table is unavailable.
func (s *settler) writeAll(ctx context.Context) {
	pause := minSettlePause
	for {
		ok := s.writeRound(ctx)
		if s.pending.Len() == 0 {
			return
		}
		if ok {
			pause = minSettlePause
		}
		if !mwtimer.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxSettlePause)
	}
}

// writeRound writes records until the table proves unavailable. It reports
// whether the table was available throughout.
func (s *settler) writeRound(ctx context.Context) bool {
	ok := true
	s.pending.Range(func(id ClaimantID, p pendingRecord) bool {
		ok = s.resolve(ctx, id, p)
		return ok
	})
	return ok
}

// resolve writes p. It reports whether p is resolved: written, or refused because
// the row belongs to another claimant.
func (s *settler) resolve(ctx context.Context, id ClaimantID, p pendingRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	err := s.write(ctx, p)
	switch mwcode.CodeOf(err) {
	case mwcode.OK:
		s.l.stat.settled.Inc()
	case mwcode.Conflict:
		s.l.stat.conflicts.Inc()
		s.l.o.log.Error("cannot write final claim record: row belongs to another claimant",
			"Row", p.c.key, "Claimant", id, "State", p.rec.State)
	default:
		return false
	}
	s.pending.Delete(id)
	s.objectBytes.Add(-int64(len(p.answer)))
	return true
}

func (s *settler) write(ctx context.Context, p pendingRecord) error {
	if p.answer != nil {
		if err := s.l.store.PutObject(ctx, p.rec.Object, p.answer); err != nil {
			return err
		}
	}
	return p.c.overwrite(ctx, p.rec)
}
