package mwclaim_test

import (
	"math"
	"slices"

	"github.com/anishathalye/porcupine"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
)

// step is an operation of an attempt on the ledger.
type step int

const (
	acquire step = iota
	release
	finish
)

// input is one step of one attempt.
type input struct {
	step    step
	attempt mwid.AttemptID
}

// result is what the ledger answered.
type result int

const (
	done result = iota
	held
	replayed
	unknown // The step may take effect at any time, or never.
)

// output is a result, with the attempt whose answer was replayed.
type output struct {
	result       result
	replayedFrom mwid.AttemptID
}

// outcomeOf returns the output of a step.
func outcomeOf(cl mwkernel.Claim, err error) output {
	if mwcode.CodeOf(err) == mwcode.Held {
		return output{result: held}
	}
	if err != nil {
		return output{result: unknown}
	}
	if cl != nil {
		if a, ok := cl.StoredAnswer(); ok {
			return output{replayed, mwid.AttemptID(mwcall.EncodedAnswer(a))}
		}
	}
	return output{result: done}
}

// record adds one step to the history of its key. An acquisition with an unknown
// outcome goes to unknownAcquires, together with a release, since the ledger may
// later record that the attempt did not run.
func (a *attempt) record(call int64, s step, out output) {
	op := porcupine.Operation{
		Input: input{s, a.c.Attempt}, Call: call, Output: out, Return: a.w.clock.Add(1),
	}
	if out.result == unknown {
		op.Return = math.MaxInt64
	}
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	if s == acquire && out.result == unknown {
		a.st.unknownAcquires = append(a.st.unknownAcquires, op)
		op.Input = input{release, a.c.Attempt}
		a.st.unknownAcquires = append(a.st.unknownAcquires, op)
		return
	}
	a.st.history = append(a.st.history, op)
}

// maxUnknown is the maximum number of operations in unknownAcquires that are
// tried at every position of a linearization.
const maxUnknown = 6

// linearizable reports whether the history is linearizable under the model. An
// acquisition with an unknown outcome can only explain why other attempts were
// held. If there are more than maxUnknown operations in unknownAcquires, these are
// left out, and Held results are not checked.
func (st *keyState) linearizable() bool {
	if len(st.unknownAcquires) <= maxUnknown {
		return porcupine.CheckOperations(claimModel, append(st.unknownAcquires, st.history...))
	}
	known := slices.DeleteFunc(slices.Clone(st.history), func(o porcupine.Operation) bool {
		return o.Output.(output).result == held
	})
	return porcupine.CheckOperations(claimModel, known)
}

// row is the state of one key in the model.
type row struct {
	holder mwid.AttemptID
	done   bool
}

// claimModel is the sequential model of one key: an attempt that acquires a free
// key holds it until it releases or finishes it.
var claimModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{row{}} },
	Step: func(state, in, out any) []any {
		s, i, o := state.(row), in.(input), out.(output)
		next, ok := s.apply(i, o)
		if o.result != unknown {
			if !ok {
				return nil
			}
			return []any{next}
		}
		if ok && next != s {
			return []any{s, next}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// apply returns the state after step i, and whether the step can have output o
// in state s.
func (s row) apply(i input, o output) (row, bool) {
	mine := s.holder == i.attempt && !s.done
	switch {
	case o.result == held:
		return s, s.holder != ""
	case o.result == replayed:
		return s, s.done && s.holder == o.replayedFrom
	case i.step == acquire:
		return row{holder: i.attempt}, s.holder == ""
	case i.step == release:
		return row{}, mine
	}
	return row{i.attempt, true}, mine
}
