package mwclaim

import (
	"context"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwstore"
)

// claim is one claimant's exclusive right to run the call of a key. No other
// claimant takes the right over, so a claimant that pauses keeps it. The
// deadline of the call may pass during the pause; Begin checks it.
type claim struct {
	l        *Ledger
	key      mwstore.Key
	first    bool
	deadline time.Time
	rec      Record // in state Claimed

	// The fields up to mu are set only while the claim is acquired.
	rev        mwid.Revision
	sent       bool // whether a write with an unknown outcome was sent
	rereads    int  // repeated reads that waited for another claimant's answer
	withoutRow bool // whether the call runs without a row
	answer     mwcall.EncodedAnswer
	hasAnswer  bool

	mu    sync.Mutex
	spent bool // whether the right was used or given up
}

var _ mwkernel.Claim = (*claim)(nil)

func newClaim(l *Ledger, c *mwcall.Call) *claim {
	return &claim{
		l: l, key: RowKey(c.Caller, c.Key), first: c.First, deadline: c.Deadline,
		rec: Record{
			Claimant: ClaimantID(mwid.NewAttemptID()), Attempt: c.Attempt, Node: l.o.node,
			State: Claimed, Call: callDigest(c), At: time.Now().UTC(),
		},
	}
}

// withState returns a copy of r with state s and the current time. The record of
// a claim has no answer yet, so the copy has none.
func (r Record) withState(s State) Record {
	r.State, r.At = s, time.Now().UTC()
	return r
}

// newPut returns the write of the record of c over revision rev of the row.
func (c *claim) newPut(rev mwid.Revision) Put {
	return Put{Key: c.key, Value: c.rec.encode(), Revision: rev}
}

func (c *claim) setRevision(rev mwid.Revision) { c.rev = rev }

// StoredAnswer returns the answer of an earlier attempt.
func (c *claim) StoredAnswer() (mwcall.EncodedAnswer, bool) { return c.answer, c.hasAnswer }

// Begin uses the right to run the call. Its error has the code
// mwcode.DeadlinePassed if the deadline has passed, or mwcode.Held if the right
// was already used or given up, or the answer of an earlier attempt was found.
func (c *claim) Begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.spent || c.hasAnswer {
		return mwcode.New(mwcode.Held)
	}
	c.spent = true
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		c.scheduleNotRun()
		return mwcode.New(mwcode.DeadlinePassed)
	}
	return nil
}

// mayHaveRow reports whether the table has, or may later get, a row of c.
func (c *claim) mayHaveRow() bool { return !c.withoutRow || c.sent }

// scheduleNotRun schedules the write of a record in state NotRun, if c may have
// a row.
func (c *claim) scheduleNotRun() {
	if c.mayHaveRow() {
		c.l.settle.add(c, c.rec.withState(NotRun))
	}
}

// markSpent marks the right as given up.
func (c *claim) markSpent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent = true
}

// RecordNotRun records that the call did not run. If the write fails, it is retried
// in the background until the node stops.
func (c *claim) RecordNotRun(ctx context.Context) error {
	c.markSpent()
	if !c.mayHaveRow() {
		return nil
	}
	return c.finish(ctx, c.rec.withState(NotRun))
}

// Finish stores the answer, in the row or, if it is larger than the inline
// limit, as an object that the row refers to. Failed writes are retried as in
// RecordNotRun.
func (c *claim) Finish(ctx context.Context, a mwcall.EncodedAnswer) error {
	r := c.rec.withState(Done)
	if int64(len(a)) <= int64(c.l.o.inline) {
		r.Answer = a
		return c.finish(ctx, r)
	}
	r.Digest = digestOf(a)
	r.Object = answerPrefix + c.key + "/" + mwstore.Key(c.rec.Claimant)
	if err := c.l.store.PutObject(ctx, r.Object, a); err != nil {
		c.l.settle.addWithObject(c, r, a)
		return err
	}
	return c.finish(ctx, r)
}

// finish writes r, the final record of c. A failed write is retried in the
// background.
func (c *claim) finish(ctx context.Context, r Record) error {
	err := c.overwrite(ctx, r)
	if err != nil {
		c.l.settle.add(c, r)
	}
	return err
}

// overwrite replaces the claim's own row with r. It succeeds if the row already
// has this claimant and the state of r. It returns mwcode.Conflict if the row
// belongs to another claimant that may have run.
func (c *claim) overwrite(ctx context.Context, r Record) error {
	// A store that came back from a copy may have given the revision to the row of a
	// running claimant, which NotRun must not replace.
	rev, known := c.rev, c.rev != 0 && r.State != NotRun
	for range maxRounds {
		if !known {
			cur, n, exists, err := c.l.read(ctx, c.key)
			switch {
			case err != nil:
				return err
			case exists && cur.Claimant != r.Claimant && !mayReplace(cur):
				return mwcode.New(mwcode.Conflict)
			case exists && cur.Claimant == r.Claimant && cur.State == r.State:
				return nil
			}
			rev = n
		}
		_, err := c.l.write(ctx, Put{Key: c.key, Value: r.encode(), Revision: rev, Lazy: r.State == Done})
		switch mwcode.CodeOf(err) {
		case mwcode.OK:
			return nil
		case mwcode.Conflict, mwcode.StoreUnknown:
			known = false
		default:
			return err
		}
	}
	return mwcode.New(mwcode.StoreUnknown)
}

// mayReplace reports whether any claimant may overwrite r.
func mayReplace(r Record) bool { return r.State == NotRun }

// fetchAnswer loads the answer that r contains or refers to. It returns
// mwcode.Held if the object can't be read or does not match its digest.
func (c *claim) fetchAnswer(ctx context.Context, r Record) error {
	c.answer = r.Answer
	if r.Object != "" {
		b, err := c.l.store.GetObject(ctx, r.Object)
		if err != nil || digestOf(b) != r.Digest {
			return mwcode.New(mwcode.Held)
		}
		c.answer = b
	}
	c.hasAnswer = true
	return nil
}
