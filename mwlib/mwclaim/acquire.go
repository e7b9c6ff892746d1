package mwclaim

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
)

// maxRounds is the maximum number of rounds of acquire and overwrite. A round
// reads and writes the row. It is repeated if another claimant changed the row
// in between, or if the outcome of the write is unknown.
const maxRounds = 8

// runFirstWait is how long a first attempt waits for the table before it runs
// without a row, if WithRunFirst allows that.
const runFirstWait = time.Second

// rowState is what a claimant knows about the row before it writes.
type rowState struct {
	known  bool // whether the row was read, or can be assumed absent
	exists bool
	rec    Record
	rev    mwid.Revision
}

// acquire makes c the claimant of its key, or loads the stored answer.
func (c *claim) acquire(ctx context.Context) error {
	if c.l.o.runFirst && c.first {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, runFirstWait)
		defer cancel()
	}
	s := rowState{known: c.first}
	noEarlierRun := c.first // whether no earlier attempt can have run
	for range maxRounds {
		if !s.known {
			var err error
			if s, err = c.readRow(ctx); err != nil {
				return c.giveUp(noEarlierRun)
			}
		}
		done, err := c.decide(ctx, s)
		if s.rec.State == Claimed && mwcode.CodeOf(err) == mwcode.Held && c.waitForAnswer(ctx) {
			s = rowState{}
			continue
		}
		if done || err != nil {
			return err
		}
		rev, err := c.l.write(ctx, c.newPut(s.rev))
		switch mwcode.CodeOf(err) {
		case mwcode.OK:
			c.setRevision(rev)
			return nil
		case mwcode.Conflict:
			noEarlierRun = false
		case mwcode.StoreUnknown:
			c.sent = true
			c.l.stat.readBack.Inc()
		default:
			return c.giveUp(noEarlierRun)
		}
		s = rowState{}
	}
	return c.giveUp(noEarlierRun)
}

// answerPauses are the pauses of an attempt that found another claimant, one
// before each repeated read of the row. The repeated reads are needed because the
// answer of a call that ran is stored slightly after it is sent to the caller.
var answerPauses = []time.Duration{75 * time.Millisecond, 250 * time.Millisecond}

// waitForAnswer pauses before the row is read again. It returns false after the
// last pause, or if ctx is done.
func (c *claim) waitForAnswer(ctx context.Context) bool {
	if c.rereads == len(answerPauses) {
		return false
	}
	pause := answerPauses[c.rereads]
	c.rereads++
	return mwtimer.Sleep(ctx, pause)
}

// readRow reads the row of c.
func (c *claim) readRow(ctx context.Context) (rowState, error) {
	rec, rev, ok, err := c.l.read(ctx, c.key)
	return rowState{known: true, exists: ok, rec: rec, rev: rev}, err
}

// decide determines how to proceed with the row in s. done reports that c already
// has its claim or an answer. If done is false and err is nil, c may write its
// claim over the row.
func (c *claim) decide(ctx context.Context, s rowState) (done bool, err error) {
	switch {
	case !s.exists:
		return false, c.checkNotRun()
	case s.rec.Call != c.rec.Call:
		return false, mwcode.New(mwcode.KeyReused)
	case s.rec.Claimant == c.rec.Claimant && s.rec.State == Claimed:
		c.setRevision(s.rev)
		return true, nil
	case s.rec.State == NotRun:
		return false, c.checkNotRun()
	case s.rec.State == Done:
		return true, c.fetchAnswer(ctx, s.rec)
	}
	return false, mwcode.New(mwcode.Held)
}

// checkNotRun returns mwcode.Held if the call may have run although its row is
// absent or in state NotRun. That is so for a later attempt if first attempts may
// run without a row: a row in state NotRun belongs to one claimant only, and
// another may have run.
func (c *claim) checkNotRun() error {
	if c.l.o.runFirst && !c.first {
		return mwcode.New(mwcode.Held)
	}
	return nil
}

// giveUp ends an acquisition that could not write the row. If first attempts may
// run without a row and noEarlierRun is set, giveUp grants the claim without a
// row. Otherwise it returns an error; if a write of the claim may still take
// effect, it also schedules the write of a record in state NotRun.
func (c *claim) giveUp(noEarlierRun bool) error {
	if c.l.o.runFirst && noEarlierRun {
		c.withoutRow = true
		return nil
	}
	c.spent = true
	if c.sent {
		c.l.settle.add(c, c.rec.withState(NotRun))
	}
	if noEarlierRun {
		return mwcode.New(mwcode.ClaimsAway)
	}
	return mwcode.New(mwcode.ClaimUnknown)
}
