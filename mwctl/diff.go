package main

import (
	"fmt"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwoperator"
)

// diff is the command that shows what apply would change.
type diff struct {
	Args files `positional-args:"yes" required:"yes"`
}

// difference is what apply would change in one document.
type difference struct {
	Kind  mwconfig.Kind
	Name  mwconfig.DocumentName
	Lines []mwoperator.Line
}

// run prints the difference of each document that would change.
func (v *diff) run(e *env) error {
	docs, err := v.Args.read()
	if err != nil {
		return err
	}
	o := e.operator()
	stored, err := o.List(e.ctx, "")
	if err != nil {
		return err
	}
	var ds []difference
	for _, d := range docs {
		if x := compare(find(stored, d), d); x != nil {
			ds = append(ds, difference{d.Kind, d.Name, x})
		}
	}
	if e.global.Output == "json" {
		return e.print(ds, nil)
	}
	for _, d := range ds {
		fmt.Fprintf(e.out, "%s/%s\n", d.Kind, d.Name)
		e.printDiff(d.Lines)
	}
	return nil
}

// compare returns the difference from s to d, or nil if there is none.
func compare(s mwoperator.Stored, d mwconfig.Document) []mwoperator.Line {
	if s.Revision == 0 {
		return mwoperator.Diff(nil, &d)
	}
	if !mwoperator.SpecsDiffer(&s.Document, &d) {
		return nil
	}
	return mwoperator.Diff(&s.Document, &d)
}

func (e *env) printDiff(lines []mwoperator.Line) {
	for _, l := range lines {
		fmt.Fprintln(e.out, l)
	}
}
