package mwclaim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwclaim"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
)

// newCall returns a call with key k.
func newCall(k mwid.CallKey, first bool) *mwcall.Call {
	return &mwcall.Call{
		Attempt: mwid.NewAttemptID(), Caller: "shop", Service: "auftrag",
		Method: "POST", Path: "/orders", Key: k, First: first, Resubmitted: !first,
	}
}

// ledgerPair is two ledgers that share one store, in virtual time.
type ledgerPair struct {
	*qt.C
	store *mwfakestore.Store
	a, b  *mwclaim.Ledger
}

// withLedgerPair runs f with two ledgers that share one store, in virtual time.
func withLedgerPair(t *testing.T, f func(w ledgerPair), opts ...mwclaim.Option) {
	synctest.Test(t, func(t *testing.T) {
		s, stop := mwfakestore.New()
		defer stop()
		c := qt.New(t)
		a, stopA, err := mwclaim.New(s, opts...)
		c.Assert(err, qt.IsNil)
		defer stopA()
		b, stopB, err := mwclaim.New(s, opts...)
		c.Assert(err, qt.IsNil)
		defer stopB()
		f(ledgerPair{c, s, a, b})
	})
}

// callerContext returns a context with a caller's timeout.
func callerContext(w ledgerPair) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	w.Cleanup(cancel)
	return ctx
}

func (w ledgerPair) code(l *mwclaim.Ledger, c *mwcall.Call) mwcode.Code {
	_, err := l.Claim(callerContext(w), c)
	return mwcode.CodeOf(err)
}

func TestOneClaimant(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		cl, err := w.a.Claim(callerContext(w), newCall("k", true))
		w.Assert(err, qt.IsNil)
		w.Assert(cl.Begin(), qt.IsNil)
		w.Assert(mwcode.CodeOf(cl.Begin()), qt.Equals, mwcode.Held)
		w.Assert(w.code(w.b, newCall("k", false)), qt.Equals, mwcode.Held)
		w.Assert(w.code(w.a, newCall("k", true)), qt.Equals, mwcode.Held)
		w.Assert(cl.Finish(callerContext(w), mwcall.EncodedAnswer("answer")), qt.IsNil)
		again, err := w.b.Claim(callerContext(w), newCall("k", false))
		w.Assert(err, qt.IsNil)
		answer, ok := again.StoredAnswer()
		w.Assert(ok, qt.IsTrue)
		w.Assert(string(answer), qt.Equals, "answer")
		w.Assert(mwcode.CodeOf(again.Begin()), qt.Equals, mwcode.Held)
	})
}

// An attempt that arrives shortly before another one finishes must get its
// answer.
func TestAnswerOfARunningAttempt(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		cl, err := w.a.Claim(callerContext(w), newCall("k", true))
		w.Assert(err, qt.IsNil)
		w.Assert(cl.Begin(), qt.IsNil)
		go func() { _ = cl.Finish(callerContext(w), mwcall.EncodedAnswer("answer")) }()
		again, err := w.b.Claim(callerContext(w), newCall("k", false))
		w.Assert(err, qt.IsNil)
		answer, _ := again.StoredAnswer()
		w.Assert(string(answer), qt.Equals, "answer")
	})
}

func TestNotRunFreesTheKey(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		cl, err := w.a.Claim(callerContext(w), newCall("k", true))
		w.Assert(err, qt.IsNil)
		w.Assert(cl.RecordNotRun(callerContext(w)), qt.IsNil)
		w.Assert(mwcode.CodeOf(cl.Begin()), qt.Equals, mwcode.Held)
		again, err := w.b.Claim(callerContext(w), newCall("k", false))
		w.Assert(err, qt.IsNil)
		w.Assert(again.Begin(), qt.IsNil)
	})
}

func TestKeysOfCallers(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		w.Assert(w.code(w.a, newCall("k", true)), qt.Equals, mwcode.OK)
		other := newCall("k", true)
		other.Path = "/proofs"
		w.Assert(w.code(w.b, other), qt.Equals, mwcode.KeyReused)
		otherCaller := newCall("k", true)
		otherCaller.Caller = "shop/k"
		w.Assert(w.code(w.b, otherCaller), qt.Equals, mwcode.OK)
	})
}

func TestLargeAnswer(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		cl, err := w.a.Claim(callerContext(w), newCall("k", true))
		w.Assert(err, qt.IsNil)
		w.Assert(cl.Begin(), qt.IsNil)
		large := make(mwcall.EncodedAnswer, 1<<20)
		w.Assert(cl.Finish(callerContext(w), large), qt.IsNil)
		row, err := w.store.Get(callerContext(w), mwclaim.RowKey("shop", "k"))
		w.Assert(err, qt.IsNil)
		w.Assert(len(row.Value) < 1024, qt.IsTrue)
		again, err := w.b.Claim(callerContext(w), newCall("k", false))
		w.Assert(err, qt.IsNil)
		answer, _ := again.StoredAnswer()
		w.Assert(answer, qt.HasLen, len(large))
		rec, err := mwclaim.DecodeRecord(row.Value)
		w.Assert(err, qt.IsNil)
		w.Assert(w.store.PutObject(callerContext(w), rec.Object, []byte("other")), qt.IsNil)
		w.Assert(w.code(w.b, newCall("k", false)), qt.Equals, mwcode.Held)
	})
}

func TestTableAway(t *testing.T) {
	tests := []struct {
		name     string
		runFirst bool
		first    bool
		want     mwcode.Code
	}{
		{"first attempt is refused", false, true, mwcode.ClaimsAway},
		{"outcome of later attempt is unknown", false, false, mwcode.ClaimUnknown},
		{"first attempt runs with WithRunFirst", true, true, mwcode.OK},
		{"outcome of later attempt is unknown with WithRunFirst", true, false, mwcode.ClaimUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withLedgerPair(t, func(w ledgerPair) {
				w.store.SetFaults(mwfakestore.Faults{Unavailable: true})
				w.Assert(w.code(w.a, newCall("k", test.first)), qt.Equals, test.want)
			}, mwclaim.WithRunFirst(test.runFirst))
		})
	}
}

func TestNoStore(t *testing.T) {
	c := qt.New(t)
	l, stop, err := mwclaim.New(nil)
	c.Assert(err, qt.IsNil)
	defer stop()
	_, err = l.Claim(context.Background(), newCall("k", true))
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.ClaimsAway)
}

// A claimed key in a batch must not cause refusals for the other keys. The
// transaction of the batch conflicts, and one further transaction writes the rows
// of the other keys.
func TestConflictInABatch(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		w.Assert(w.code(w.a, newCall("taken", true)), qt.Equals, mwcode.OK)
		codes := make(chan mwcode.Code, 20)
		for i := range 20 {
			k := mwid.CallKey(rune('a' + i))
			if i == 7 {
				k = "taken"
			}
			go func() { codes <- w.code(w.b, newCall(k, true)) }()
		}
		held := 0
		for range 20 {
			if code := <-codes; code != mwcode.OK {
				w.Check(code, qt.Equals, mwcode.Held)
				held++
			}
		}
		w.Assert(held, qt.Equals, 1)
		w.Assert(w.store.Usage().Transactions, qt.Equals, 3)
	}, mwclaim.WithLanes(1))
}

// Two attempts of one key at one node share a lane. They must not share a
// transaction, since the second would overwrite the first.
func TestOneKeyTwiceInALane(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		codes := make(chan mwcode.Code, 8)
		for range 8 {
			go func() { codes <- w.code(w.a, newCall("k", true)) }()
		}
		granted := 0
		for range 8 {
			if <-codes == mwcode.OK {
				granted++
			}
		}
		w.Assert(granted, qt.Equals, 1)
	})
}

// A claimant must be able to claim a key and to write its final record although
// the store's answers to these writes are lost. Each case is named after the
// final write whose answers are lost.
func TestLostAnswers(t *testing.T) {
	notRun := func(w ledgerPair, cl claimant) error { return cl.RecordNotRun(callerContext(w)) }
	small := func(w ledgerPair, cl claimant) error {
		return cl.Finish(callerContext(w), mwcall.EncodedAnswer("small"))
	}
	large := func(w ledgerPair, cl claimant) error {
		_ = cl.Finish(callerContext(w), make(mwcall.EncodedAnswer, 1<<20)) // A failed write is retried later.
		return nil
	}
	tests := []struct {
		name   string
		kind   mwfakestore.Kind
		times  int
		faults mwfakestore.Faults
		last   func(w ledgerPair, cl claimant) error
	}{
		{"record in state NotRun", mwfakestore.Commit, 1, mwfakestore.Faults{}, notRun},
		{"record with inline answer", mwfakestore.Commit, 1, mwfakestore.Faults{}, small},
		{"object with answer", mwfakestore.Put, 1, mwfakestore.Faults{}, large},
		{"record with reference to object", mwfakestore.Commit, 1, mwfakestore.Faults{}, large},
		{"record in state NotRun, twice", mwfakestore.Commit, 2, mwfakestore.Faults{}, notRun},
		{"record with inline answer, twice", mwfakestore.Commit, 2, mwfakestore.Faults{}, small},
		{"object with answer, twice", mwfakestore.Put, 2, mwfakestore.Faults{}, large},
		{"record in state NotRun, slow store", mwfakestore.Commit, 1, mwfakestore.Faults{Delay: time.Second}, notRun},
		{"record with inline answer, stale reads", mwfakestore.Commit, 1, mwfakestore.Faults{Stale: 0.5}, small},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withLedgerPair(t, func(w ledgerPair) {
				w.store.LoseAnswers(mwfakestore.Commit, test.times) // the claim
				cl, err := w.a.Claim(callerContext(w), newCall("k", true))
				w.Assert(err, qt.IsNil)
				w.Assert(cl.Begin(), qt.IsNil)
				w.store.SetFaults(test.faults)
				w.store.LoseAnswers(test.kind, test.times)
				w.Assert(test.last(w, cl), qt.IsNil)
				time.Sleep(time.Minute)
				w.store.SetFaults(mwfakestore.Faults{})
				w.store.LoseAnswers(mwfakestore.Commit, test.times) // the claim over a row in state NotRun
				again, err := w.b.Claim(callerContext(w), newCall("k", false))
				w.Assert(err, qt.IsNil)
				_, stored := again.StoredAnswer()
				w.Assert(stored || again.Begin() == nil, qt.IsTrue)
			})
		})
	}
}

// A call that was claimed but not finished when its node stopped is never run
// again.
func TestResubmissionAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, stop := mwfakestore.New()
		defer stop()
		claimOn := func(k mwid.CallKey, first bool, keep bool) mwcode.Code {
			l, stop, err := mwclaim.New(s)
			c.Assert(err, qt.IsNil)
			defer stop()
			cl, err := l.Claim(context.Background(), newCall(k, first))
			if err == nil && keep {
				c.Check(cl.Begin(), qt.IsNil)
				c.Check(cl.Finish(context.Background(), mwcall.EncodedAnswer("answer")), qt.IsNil)
			}
			return mwcode.CodeOf(err)
		}
		c.Assert(claimOn("lost", true, false), qt.Equals, mwcode.OK)
		c.Assert(claimOn("lost", false, false), qt.Equals, mwcode.Held)
		c.Assert(claimOn("kept", true, true), qt.Equals, mwcode.OK)
		c.Assert(claimOn("kept", false, false), qt.Equals, mwcode.OK)
	})
}

// Records that can't be written while the table is unavailable must be written
// when it is available again.
func TestDebtsArePaid(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		ran, err := w.a.Claim(callerContext(w), newCall("ran", true))
		w.Assert(err, qt.IsNil)
		refused, err := w.a.Claim(callerContext(w), newCall("refused", true))
		w.Assert(err, qt.IsNil)
		w.Assert(ran.Begin(), qt.IsNil)
		w.store.SetFaults(mwfakestore.Faults{Unavailable: true})
		w.Assert(ran.Finish(callerContext(w), mwcall.EncodedAnswer("answer")), qt.IsNotNil)
		w.Assert(refused.RecordNotRun(callerContext(w)), qt.IsNotNil)
		time.Sleep(time.Hour)
		w.store.SetFaults(mwfakestore.Faults{})
		time.Sleep(time.Minute)
		for _, k := range []mwid.CallKey{"ran", "refused"} {
			w.Assert(w.code(w.b, newCall(k, false)), qt.Equals, mwcode.OK)
		}
	})
}

// Unwritten records must be retried once more when the node stops.
func TestDebtsArePaidAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, stop := mwfakestore.New()
		defer stop()
		l, stopLedger, err := mwclaim.New(s, mwclaim.WithLog(quiet))
		c.Assert(err, qt.IsNil)
		cl, err := l.Claim(context.Background(), newCall("k", true))
		c.Assert(err, qt.IsNil)
		s.SetFaults(mwfakestore.Faults{Unavailable: true})
		c.Assert(cl.RecordNotRun(context.Background()), qt.IsNotNil)
		s.SetFaults(mwfakestore.Faults{})
		stopLedger()
		row, err := s.Get(context.Background(), mwclaim.RowKey("shop", "k"))
		c.Assert(err, qt.IsNil)
		rec, err := mwclaim.DecodeRecord(row.Value)
		c.Assert(err, qt.IsNil)
		c.Assert(rec.State, qt.Equals, mwclaim.NotRun)
	})
}

// A store that is too busy for a while may delay claims, but must not cause
// refusals.
func TestBusyStore(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		w.store.SetFaults(mwfakestore.Faults{RateExceeded: true})
		code := make(chan mwcode.Code)
		go func() { code <- w.code(w.a, newCall("k", true)) }()
		time.Sleep(5 * time.Second)
		w.store.SetFaults(mwfakestore.Faults{})
		w.Assert(<-code, qt.Equals, mwcode.OK)
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"Claimant":"c","State":"Done","Answer":"YQ=="}`))
	f.Add([]byte(`{"State":"Other"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := mwclaim.DecodeRecord(b)
		if err != nil && mwcode.CodeOf(err) != mwcode.BadDocument {
			t.Fatalf("decode error without the code BadDocument: %v", err)
		}
		if err == nil && r.State == "" {
			t.Fatal("decoded a record without a state")
		}
	})
}

// claimant is the part of mwkernel.Claim that the tests use.
type claimant interface {
	Begin() error
	RecordNotRun(ctx context.Context) error
	Finish(ctx context.Context, a mwcall.EncodedAnswer) error
}

// With WithRunFirst, an attempt that was refused may have a row in state NotRun
// while another first attempt ran without a row. A later attempt must not run.
func TestRunFirstRowsProveNothing(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		refused, err := w.a.Claim(callerContext(w), newCall("k", true))
		w.Assert(err, qt.IsNil)
		w.Assert(refused.RecordNotRun(callerContext(w)), qt.IsNil)
		w.store.SetFaults(mwfakestore.Faults{Unavailable: true})
		ran, err := w.b.Claim(callerContext(w), newCall("k", true))
		w.Assert(err, qt.IsNil)
		w.Assert(ran.Begin(), qt.IsNil)
		w.store.SetFaults(mwfakestore.Faults{})
		w.Assert(w.code(w.a, newCall("k", false)), qt.Equals, mwcode.Held)
		w.Assert(ran.Finish(callerContext(w), mwcall.EncodedAnswer("answer")), qt.IsNil)
		w.Assert(w.code(w.a, newCall("k", false)), qt.Equals, mwcode.OK)
	}, mwclaim.WithRunFirst(true))
}

// A claimant that is paused until its deadline has passed must not run, and its
// key must become free for another attempt.
func TestPausedClaimant(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		o := newCall("k", true)
		o.Deadline = time.Now().Add(time.Second)
		cl, err := w.a.Claim(callerContext(w), o)
		w.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		w.Assert(mwcode.CodeOf(cl.Begin()), qt.Equals, mwcode.DeadlinePassed)
		w.Assert(mwcode.CodeOf(cl.Begin()), qt.Equals, mwcode.Held)
		time.Sleep(time.Second)
		w.Assert(w.code(w.b, newCall("k", false)), qt.Equals, mwcode.OK)
	})
}

// A claim's write that takes effect after its claimant gave up must neither hold
// the key permanently nor undo a later claim.
func TestLateWriteOfAClaimantThatGaveUp(t *testing.T) {
	withLedgerPair(t, func(w ledgerPair) {
		w.store.SetFaults(mwfakestore.Faults{Delay: time.Minute, Late: 1})
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := w.a.Claim(short, newCall("k", true))
		w.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.ClaimsAway)
		w.store.SetFaults(mwfakestore.Faults{})
		time.Sleep(10 * time.Second)
		cl, err := w.b.Claim(callerContext(w), newCall("k", false))
		w.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Minute)
		w.Assert(cl.Begin(), qt.IsNil)
		w.Assert(w.code(w.a, newCall("k", false)), qt.Equals, mwcode.Held)
	})
}
