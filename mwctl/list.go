package main

import "mustardwheel.example/mwlib/mwconfig"

// list is the command that lists documents.
type list struct {
	Args struct {
		Kind mwconfig.Kind `positional-arg-name:"KIND" description:"kind of the documents; all kinds by default"`
	} `positional-args:"yes"`
}

// run prints the documents, sorted by kind and name.
func (v *list) run(e *env) error {
	o := e.operator()
	stored, err := o.List(e.ctx, v.Args.Kind)
	if err != nil {
		return err
	}
	t := &table{head: []string{"KIND", "NAME", "REVISION"}}
	for _, s := range stored {
		t.add(s.Document.Kind, s.Document.Name, s.Revision)
	}
	return e.print(stored, t)
}
