package mwoperator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoperator"
	"mustardwheel.example/mwlib/mwstore"
)

// document is the state of the only document of a history.
type document struct {
	rev  mwid.Revision
	spec string
}

// input is an operation of a history: a change where spec is set, else a
// read.
type input struct {
	expected mwid.Revision
	spec     string
}

// output is what an operation returned: the document after it, or the
// conflict that it met.
type output struct {
	document
	conflict bool
}

// model is a document that changes only at the expected revision.
var model = porcupine.Model{
	Init: func() any { return document{} },
	Step: func(state, in, out any) (bool, any) {
		d, i, o := state.(document), in.(input), out.(output)
		switch {
		case i.spec == "":
			return o.document == d, d
		case o.conflict:
			return i.expected != d.rev && o.rev == d.rev, d
		default:
			return i.expected == d.rev && o.rev > d.rev, o.document
		}
	},
}

// history is what clients did.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, o)
}

// client makes changes of one document, and reads it.
type client struct {
	id  int
	o   *mwoperator.Operator
	h   *history
	rnd *rand.Rand
}

// run makes n operations; one whose outcome isn't known is asked again with
// its operation id.
func (c *client) run(ctx context.Context, n int) {
	var last document
	for i := range n {
		in := input{}
		if c.rnd.IntN(2) == 0 {
			in = input{expected: last.rev, spec: fmt.Sprintf(`{"Rank":%d}`, c.id*n+i+1)}
		}
		call := time.Now().UnixNano()
		out := c.do(ctx, in)
		c.h.add(porcupine.Operation{
			ClientId: c.id, Input: in, Call: call, Output: out, Return: time.Now().UnixNano(),
		})
		last = out.document
		time.Sleep(time.Duration(c.rnd.IntN(20)) * time.Millisecond)
	}
}

func (c *client) do(ctx context.Context, in input) output {
	op := mwid.NewOperationID()
	for {
		var out output
		var err error
		if in.spec == "" {
			out, err = c.get(ctx)
		} else {
			out, err = c.apply(ctx, op, in)
		}
		if err == nil {
			return out
		}
		time.Sleep(time.Duration(1+c.rnd.IntN(10)) * time.Millisecond)
	}
}

func (c *client) get(ctx context.Context) (output, error) {
	s, err := c.o.Get(ctx, mwconfig.KindPolicy, "p")
	if mwcode.Of(err) == mwcode.NotFound {
		return output{}, nil
	}
	return output{document: document{s.Revision, string(s.Document.Spec)}}, err
}

func (c *client) apply(ctx context.Context, op mwid.OperationID, in input) (output, error) {
	ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	d := mwconfig.Document{Kind: mwconfig.KindPolicy, Name: "p", Spec: []byte(in.spec)}
	r, err := c.o.Apply(ctx, op, "eva", []mwoperator.Edit{{Document: d, Expected: in.expected}})
	if e, ok := mwoperator.AsConflict(err); ok {
		return output{document: document{rev: e.Found}, conflict: true}, nil
	}
	return output{document: document{r.Revision, in.spec}}, err
}

// unchecked is a fault: a store that checks nothing.
type unchecked struct{ *mwfakestore.Store }

// Commit writes in any case.
func (s unchecked) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	t.Checks = nil
	return s.Store.Commit(ctx, t)
}

// runClients returns whether the history of four clients with seed is that
// of one document.
func runClients(t *testing.T, seed uint64, store func(*mwfakestore.Store) mwstore.Store) bool {
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		s, end := mwfakestore.New(mwfakestore.WithSeed(seed), mwfakestore.WithFaults(mwfakestore.Faults{
			Delay: 4 * time.Millisecond, Lost: 0.2, Dropped: 0.2, Late: 0.5,
		}))
		defer end()
		var wg sync.WaitGroup
		for id := range 4 {
			c := &client{id, mwoperator.New(store(s)), h, rand.New(rand.NewPCG(seed, uint64(id)))}
			wg.Go(func() { c.run(t.Context(), 12) })
		}
		wg.Wait()
	})
	return porcupine.CheckOperations(model, h.ops)
}

// historySeeds are the seeds of the histories.
const historySeeds = 20

func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			ok := runClients(t, seed, func(s *mwfakestore.Store) mwstore.Store { return s })
			qt.Assert(t, ok, qt.IsTrue)
		})
	}
}

func TestHistoriesFindAFault(t *testing.T) {
	found := 0
	for seed := range uint64(historySeeds) {
		if !runClients(t, seed, func(s *mwfakestore.Store) mwstore.Store { return unchecked{s} }) {
			found++
		}
	}
	t.Logf("found in %d of %d", found, historySeeds)
	qt.Assert(t, found > 0, qt.IsTrue)
}
