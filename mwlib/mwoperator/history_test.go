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

// document is the state of the single document that a history changes.
type document struct {
	rev  mwid.Revision
	spec string
}

// input is an operation of a history: a change if spec is set, otherwise a
// read.
type input struct {
	expected mwid.Revision
	spec     string
}

// output is the result of an operation: the document after it, or the revision
// found by a change that conflicted.
type output struct {
	document
	conflict bool
}

// model is a document that changes only if the expected revision matches.
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

// history records the operations of all clients.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, o)
}

// client changes and reads one document.
type client struct {
	id  int
	o   *mwoperator.Operator
	h   *history
	rnd *rand.Rand
}

// run performs n operations. An operation that fails, or whose outcome is
// unknown, is repeated with the same operation id.
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
	if mwcode.CodeOf(err) == mwcode.NotFound {
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

// uncheckedStore is a faulty store that ignores the checks of a transaction.
type uncheckedStore struct{ *mwfakestore.Store }

// Commit commits the writes of t without its checks.
func (s uncheckedStore) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	t.Checks = nil
	return s.Store.Commit(ctx, t)
}

// runClients runs four clients with the given seed and reports whether their
// history is linearizable.
func runClients(t *testing.T, seed uint64, store func(*mwfakestore.Store) mwstore.Store) bool {
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		s, stop := mwfakestore.New(mwfakestore.WithSeed(seed), mwfakestore.WithFaults(mwfakestore.Faults{
			Delay: 4 * time.Millisecond, Lost: 0.2, Dropped: 0.2, Late: 0.5,
		}))
		defer stop()
		var wg sync.WaitGroup
		for id := range 4 {
			c := &client{id, mwoperator.New(store(s)), h, rand.New(rand.NewPCG(seed, uint64(id)))}
			wg.Go(func() { c.run(t.Context(), 12) })
		}
		wg.Wait()
	})
	return porcupine.CheckOperations(model, h.ops)
}

// historySeeds is the number of seeds, and so of histories, per test.
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
		if !runClients(t, seed, func(s *mwfakestore.Store) mwstore.Store { return uncheckedStore{s} }) {
			found++
		}
	}
	t.Logf("found histories that are not linearizable with %d of %d seeds", found, historySeeds)
	qt.Assert(t, found > 0, qt.IsTrue)
}
