package mwclaim

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
)

// maxRounds is the maximum number of times that a claim is read or written while
// its row changes or answers are lost.
const maxRounds = 8

// runFirstWait is how long a first attempt waits for the table before it runs
// without a row, if WithRunFirst allows that.
const runFirstWait = time.Second

// seen is what a claimant knows about the row before it writes.
type seen struct {
	known bool // whether the row was read, or can be assumed absent
	there bool
	rec   Record
	rev   mwid.Revision
}

// acquire makes c the claimant of its key, or loads the stored answer.
func (c *claim) acquire(ctx context.Context) error {
	if c.l.o.runFirst && c.first {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, runFirstWait)
		defer cancel()
	}
	s := seen{known: c.first}
	sure := c.first // whether it is certain that no earlier attempt ran
	for range maxRounds {
		if !s.known {
			var err error
			if s, err = c.look(ctx); err != nil {
				return c.giveUp(sure)
			}
		}
		done, err := c.judge(ctx, s)
		if s.rec.State == Claimed && mwcode.Of(err) == mwcode.Held && c.waitForAnswer(ctx) {
			s = seen{}
			continue
		}
		if done || err != nil {
			return err
		}
		rev, err := c.l.write(ctx, c.put(s.rev))
		switch mwcode.Of(err) {
		case mwcode.OK:
			c.granted(rev)
			return nil
		case mwcode.Conflict:
			sure = false
		case mwcode.StoreUnknown:
			c.sent = true
			c.l.stat.readBack.Inc()
		default:
			return c.giveUp(sure)
		}
		s = seen{}
	}
	return c.giveUp(sure)
}

// answerPauses are the pauses of an attempt that finds another claimant before
// it reads the row again. The answer of a call that ran is stored slightly after
// it is sent.
var answerPauses = []time.Duration{75 * time.Millisecond, 250 * time.Millisecond}

// waitForAnswer pauses before the row is read again. It returns false after the
// last pause, or if ctx is done.
func (c *claim) waitForAnswer(ctx context.Context) bool {
	if c.looks == len(answerPauses) {
		return false
	}
	pause := answerPauses[c.looks]
	c.looks++
	return mwtimer.Sleep(ctx, pause)
}

// look reads the row of c.
func (c *claim) look(ctx context.Context) (seen, error) {
	rec, rev, ok, err := c.l.read(ctx, c.key)
	return seen{known: true, there: ok, rec: rec, rev: rev}, err
}

// judge decides how to proceed with the row in s. done reports that c already
// has its claim or an answer. If done is false and err is nil, c may write its
// claim over the row.
func (c *claim) judge(ctx context.Context, s seen) (done bool, err error) {
	switch {
	case !s.there:
		return false, c.unproven()
	case s.rec.Call != c.rec.Call:
		return false, mwcode.New(mwcode.KeyReused)
	case s.rec.Claimant == c.rec.Claimant && s.rec.State == Claimed:
		c.granted(s.rev)
		return true, nil
	case s.rec.State == NotRun:
		return false, c.unproven()
	case s.rec.State == Done:
		return true, c.fetch(ctx, s.rec)
	}
	return false, mwcode.New(mwcode.Held)
}

// unproven returns the error of an attempt whose row shows no run. If first
// attempts may run without a row, such a row proves nothing to a later attempt:
// even a row in state NotRun belongs to one claimant only, and another may have
// run.
func (c *claim) unproven() error {
	if c.l.o.runFirst && !c.first {
		return mwcode.New(mwcode.Held)
	}
	return nil
}

// giveUp ends a claim whose table can't be used. If first attempts may run
// without a row and sure is set, the call may run. Otherwise giveUp returns an
// error; if a write of the claim may still take effect, it also schedules a
// record that c did not run.
func (c *claim) giveUp(sure bool) error {
	if c.l.o.runFirst && sure {
		c.unproved = true
		return nil
	}
	c.spent = true
	if c.sent {
		c.l.settle.add(c, c.rec.as(NotRun))
	}
	if sure {
		return mwcode.New(mwcode.ClaimsAway)
	}
	return mwcode.New(mwcode.ClaimUnknown)
}
