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

// claim is the right of one claimant. The right is never taken over, so a
// claimant that pauses can't lose it to another; what it may lose in the
// pause is its time, which Begin checks.
type claim struct {
	l        *Ledger
	key      mwstore.Key
	first    bool
	deadline time.Time
	rec      Record // rec is the record with the State Claimed.

	// The fields up to mu are set while the claim is acquired.
	rev      mwid.Revision
	sent     bool // sent tells that a write with no known outcome left.
	looks    int  // looks counts looks for another claimant's answer.
	unproved bool // unproved tells that the call runs without a row.
	kept     mwcall.Kept
	hasKept  bool

	mu    sync.Mutex
	spent bool // spent tells that the right was used or given up.
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

// as returns r in state s without an answer.
func (r Record) as(s State) Record {
	r.State, r.At = s, time.Now().UTC()
	return r
}

func (c *claim) put(rev mwid.Revision) Put {
	return Put{Key: c.key, Value: c.rec.encode(), Revision: rev}
}

func (c *claim) granted(rev mwid.Revision) { c.rev = rev }

// Kept returns the answer of an earlier attempt.
func (c *claim) Kept() (mwcall.Kept, bool) { return c.kept, c.hasKept }

// Begin uses the right. Its error has the code mwcode.DeadlinePassed where
// the time is over, or mwcode.Held where the right was used or given up
// before.
func (c *claim) Begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.spent || c.hasKept {
		return mwcode.New(mwcode.Held)
	}
	c.spent = true
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		c.abandon()
		return mwcode.New(mwcode.DeadlinePassed)
	}
	return nil
}

// hasRow tells whether the table has or may get a row of c.
func (c *claim) hasRow() bool { return !c.unproved || c.sent }

// abandon lets it be written down that c did not run.
func (c *claim) abandon() {
	if c.hasRow() {
		c.l.settle.add(c, c.rec.as(NotRun))
	}
}

// spend gives up the right.
func (c *claim) spend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent = true
}

// NotRun writes down that the call did not run. What can't be written now is
// written later, as long as this node lives.
func (c *claim) NotRun(ctx context.Context) error {
	c.spend()
	if !c.hasRow() {
		return nil
	}
	return c.finish(ctx, c.rec.as(NotRun))
}

// Finish keeps the answer, as NotRun does.
func (c *claim) Finish(ctx context.Context, k mwcall.Kept) error {
	r := c.rec.as(Done)
	if int64(len(k)) <= int64(c.l.o.inline) {
		r.Answer = k
		return c.finish(ctx, r)
	}
	r.Digest = digestOf(k)
	r.Object = answerPrefix + c.key + "/" + mwstore.Key(c.rec.Claimant)
	if err := c.l.store.PutObject(ctx, r.Object, k); err != nil {
		c.l.settle.addWith(c, r, k)
		return err
	}
	return c.finish(ctx, r)
}

// finish writes r, the last record of c.
func (c *claim) finish(ctx context.Context, r Record) error {
	err := c.overwrite(ctx, r)
	if err != nil {
		c.l.settle.add(c, r)
	}
	return err
}

// overwrite writes r over the claim's own row. It is done where the row has
// r, and mwcode.Conflict where the row is another claimant's.
func (c *claim) overwrite(ctx context.Context, r Record) error {
	rev, known := c.rev, c.rev != 0
	for range maxRounds {
		if !known {
			cur, n, there, err := c.l.read(ctx, c.key)
			switch {
			case err != nil:
				return err
			case there && cur.Claimant != r.Claimant && !mayReplace(cur):
				return mwcode.New(mwcode.Conflict)
			case there && cur.Claimant == r.Claimant && cur.State == r.State:
				return nil
			}
			rev = n
		}
		_, err := c.l.write(ctx, Put{Key: c.key, Value: r.encode(), Revision: rev, Lazy: r.State == Done})
		switch mwcode.Of(err) {
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

// mayReplace tells whether any claimant may write over r.
func mayReplace(r Record) bool { return r.State == NotRun }

// fetch finds the answer that r keeps.
func (c *claim) fetch(ctx context.Context, r Record) error {
	c.kept = r.Answer
	if r.Object != "" {
		b, err := c.l.store.GetObject(ctx, r.Object)
		if err != nil || digestOf(b) != r.Digest {
			return mwcode.New(mwcode.Held)
		}
		c.kept = b
	}
	c.hasKept = true
	return nil
}
