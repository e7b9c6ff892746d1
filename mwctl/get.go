package main

import (
	"encoding/json"

	"mustardwheel.example/mwlib/mwconfig"
)

// get is the command that prints one document.
type get struct {
	Args document `positional-args:"yes" required:"yes"`
}

// document identifies one document.
type document struct {
	Kind mwconfig.Kind         `positional-arg-name:"KIND" description:"kind of the document"`
	Name mwconfig.DocumentName `positional-arg-name:"NAME" description:"name of the document"`
}

// run prints the document in the format that apply reads. JSON output includes
// the revision.
func (v *get) run(e *env) error {
	o := e.operator()
	s, err := o.Get(e.ctx, v.Args.Kind, v.Args.Name)
	if err != nil {
		return err
	}
	if e.global.Output == "json" {
		return e.print(s, nil)
	}
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	return enc.Encode(s.Document)
}
