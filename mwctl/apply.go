package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoperator"
)

// apply is the command that writes documents.
type apply struct {
	Operation mwid.OperationID `long:"operation" description:"operation id of an earlier attempt whose outcome is unknown; the change is made at most once"`
	Args      files            `positional-args:"yes" required:"yes"`
}

// files are the paths of files with documents.
type files struct {
	Files []string `positional-arg-name:"FILE" required:"1" description:"file of documents; - is standard input"`
}

// run writes all documents that differ from the stored ones as one change.
func (v *apply) run(e *env) error {
	docs, err := v.Args.read()
	if err != nil {
		return err
	}
	o := e.operator()
	if done, err := e.resume(o, v.Operation); done || err != nil {
		return err
	}
	edits, err := editsFor(e.ctx, o, docs)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		fmt.Fprintln(e.out, "nothing to change")
		return nil
	}
	return e.change(v.Operation, edits)
}

// read returns the documents of all files, in order.
func (f files) read() ([]mwconfig.Document, error) {
	var docs []mwconfig.Document
	for _, name := range f.Files {
		ds, err := readFile(name)
		if err != nil {
			return nil, err
		}
		docs = append(docs, ds...)
	}
	return docs, nil
}

func readFile(name string) ([]mwconfig.Document, error) {
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, mwcode.New(mwcode.BadCommand, mwcode.File(name), mwcode.Wrap(err))
		}
		defer f.Close()
		r = f
	}
	return mwconfig.Decode(name, r)
}

// editsFor returns the edits that make the stored documents equal to docs. Each
// edit expects the revision that is stored now.
func editsFor(ctx context.Context, o *mwoperator.Operator, docs []mwconfig.Document) ([]mwoperator.Edit, error) {
	stored, err := o.List(ctx, "")
	if err != nil {
		return nil, err
	}
	var edits []mwoperator.Edit
	for _, d := range docs {
		s := find(stored, d)
		if s.Revision != 0 && !mwoperator.SpecsDiffer(&s.Document, &d) {
			continue
		}
		edits = append(edits, mwoperator.Edit{Document: d, Expected: s.Revision})
	}
	return edits, nil
}

// find returns the stored document of the kind and name of d. Its revision is 0
// if there is none.
func find(stored []mwoperator.Stored, d mwconfig.Document) mwoperator.Stored {
	for _, s := range stored {
		if s.Document.Kind == d.Kind && s.Document.Name == d.Name {
			return s
		}
	}
	return mwoperator.Stored{}
}
