package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
)

// history is the command that prints the audit trail.
type history struct {
	Limit int `long:"limit" default:"20" description:"maximum number of changes, newest first"`
}

// run prints who changed what, when, and from which revision.
func (v *history) run(e *env) error {
	o := e.operator()
	last, err := o.Version(e.ctx)
	if err != nil {
		return err
	}
	after := mwid.Version(0)
	if n := mwid.Version(v.Limit); last > n {
		after = last - n
	}
	cs, err := o.History(e.ctx, after, v.Limit)
	if err != nil {
		return err
	}
	slices.Reverse(cs)
	t := &table{head: []string{"VERSION", "AT", "OPERATOR", "CHANGE", "OPERATION"}}
	for _, c := range cs {
		t.add(c.Version, c.At.Format(time.RFC3339), c.Operator, items(c.Items), c.Operation)
	}
	return e.print(cs, t)
}

// items formats the items of a change, each with the revision that it replaced.
func items(its []mwconfig.Item) string {
	ss := make([]string, len(its))
	for i, it := range its {
		sign := "set"
		if it.Deleted {
			sign = "deleted"
		}
		ss[i] = fmt.Sprintf("%s %s/%s from %d", sign, it.Document.Kind, it.Document.Name, it.From)
	}
	return strings.Join(ss, ", ")
}
