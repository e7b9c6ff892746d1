package main

import (
	"fmt"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoperator"
)

// operator returns a client of the stored configuration.
func (e *env) operator() *mwoperator.Operator { return mwoperator.New(e.store) }

// change applies edits under operation id op, or under a new id if op is empty.
// It prints that the change is accepted; it does not know which nodes already
// apply it.
func (e *env) change(op mwid.OperationID, edits []mwoperator.Edit) error {
	who, err := e.global.operator()
	if err != nil {
		return err
	}
	o := e.operator()
	if op == "" {
		op = mwid.NewOperationID()
	}
	r, err := o.Apply(e.ctx, op, who, edits)
	if mwcode.CodeOf(err) == mwcode.StoreUnknown {
		return fmt.Errorf("repeat the command with --operation %s: %w", op, err)
	}
	if c, ok := mwoperator.AsConflict(err); ok {
		e.printConflict(c, edits)
	}
	if err != nil {
		return err
	}
	return e.printAccepted(op, r)
}

// accepted is the output of a change.
type accepted struct {
	Operation mwid.OperationID
	Version   mwid.Version
}

func (e *env) printAccepted(op mwid.OperationID, r mwoperator.Receipt) error {
	t := &table{head: []string{"STATE", "VERSION", "OPERATION"}}
	t.add("accepted", r.Version, op)
	return e.print(accepted{op, r.Version}, t)
}

// resume prints the receipt of an earlier attempt under op. It reports done as
// false if op is empty or that attempt had no effect.
func (e *env) resume(o *mwoperator.Operator, op mwid.OperationID) (done bool, err error) {
	if op == "" {
		return false, nil
	}
	r, ok, err := o.LookUp(e.ctx, op)
	if err != nil || !ok {
		return false, err
	}
	return true, e.printAccepted(op, r)
}

// printConflict prints the difference between the stored document and the one
// that the operator tried to write.
func (e *env) printConflict(c *mwoperator.ConflictError, edits []mwoperator.Edit) {
	for _, x := range edits {
		if x.Document.Kind == c.Kind && x.Document.Name == c.Name {
			e.printDiff(mwoperator.Diff(c.Present, &x.Document))
		}
	}
}
