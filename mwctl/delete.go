package main

import (
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoperator"
)

// remove is the command that deletes a document.
type remove struct {
	Operation mwid.OperationID `long:"operation" description:"operation id of an earlier attempt whose outcome is unknown; the change is made at most once"`
	Revision  mwid.Revision    `long:"revision" description:"expected revision of the stored document; the current one by default"`
	Args      document         `positional-args:"yes" required:"yes"`
}

// run deletes the document if it is still at the expected revision.
func (v *remove) run(e *env) error {
	o := e.operator()
	if done, err := e.resume(o, v.Operation); done || err != nil {
		return err
	}
	rev := v.Revision
	if rev == 0 {
		s, err := o.Get(e.ctx, v.Args.Kind, v.Args.Name)
		if err != nil {
			return err
		}
		rev = s.Revision
	}
	return e.change(v.Operation, []mwoperator.Edit{{
		Document: mwconfig.Document{Kind: v.Args.Kind, Name: v.Args.Name},
		Expected: rev, Delete: true,
	}})
}
