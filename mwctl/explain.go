package main

import (
	"mustardwheel.example/mwlib/mwadmin"
	"mustardwheel.example/mwlib/mwid"
)

// explain is the verb that explains a decision.
type explain struct {
	Caller  mwid.CallerName  `long:"caller" description:"name of the caller"`
	Service mwid.ServiceName `long:"service" required:"true" description:"service that is called"`
	Method  string           `long:"method" default:"GET" description:"HTTP method"`
	Path    string           `long:"path" default:"/" description:"path of the request"`
}

// run prints how the first node would treat the call.
func (v *explain) run(e *env) error {
	x, err := e.global.node().Explain(e.ctx, mwadmin.Question{
		Caller: v.Caller, Service: v.Service, Method: v.Method, Path: v.Path,
	})
	if err != nil {
		return err
	}
	t := &table{head: []string{"FIELD", "VALUE"}}
	t.add("Version", x.Version)
	t.add("CallerLabels", x.CallerLabels)
	t.add("RequestLabels", x.RequestLabels)
	t.add("Policies", x.Verdict.Matched)
	t.add("Importance", x.Verdict.Importance)
	t.add("Repeatable", x.Verdict.Repeatable)
	t.add("Length", x.Verdict.Length)
	t.add("Retries", x.Verdict.Retries)
	t.add("Deadline", x.Verdict.Deadline)
	t.add("Retired", x.Verdict.Retired)
	t.add("Targets", len(x.Targets))
	t.add("Admitted", x.Admitted)
	t.add("Code", x.Code)
	t.add("Reason", x.Reason)
	return e.print(x, t)
}
