package main

import (
	"mustardwheel.example/mwlib/mwadmin"
	"mustardwheel.example/mwlib/mwid"
)

// explain is the command that explains how a call would be handled.
type explain struct {
	Caller  mwid.CallerName  `long:"caller" description:"name of the caller"`
	Service mwid.ServiceName `long:"service" description:"called service; by default, the service of the route that matches --host and --path"`
	Host    string           `long:"host" description:"host name in the request"`
	Method  string           `long:"method" default:"GET" description:"HTTP method"`
	Path    string           `long:"path" default:"/" description:"path of the request"`
}

// run prints how the first node would handle the call.
func (v *explain) run(e *env) error {
	x, err := e.global.node().Explain(e.ctx, mwadmin.ExplainRequest{
		Caller: v.Caller, Service: v.Service, Method: v.Method, Path: v.Path, Host: v.Host,
	})
	if err != nil {
		return err
	}
	t := &table{head: []string{"FIELD", "VALUE"}}
	t.add("Version", x.Version)
	t.add("Service", x.Service)
	t.add("Route", x.Verdict.Route)
	t.add("CallerLabels", x.CallerLabels)
	t.add("RequestLabels", x.RequestLabels)
	t.add("Policies", x.Verdict.Matched)
	t.add("Importance", x.Verdict.Importance)
	t.add("Repeatable", x.Verdict.Repeatable)
	t.add("Length", x.Verdict.Length)
	t.add("Retries", x.Verdict.Retries)
	t.add("MaxTargets", x.Verdict.MaxTargets)
	t.add("Deadline", x.Verdict.Deadline)
	t.add("Timeout", x.Verdict.Timeout)
	t.add("Objective", x.Verdict.Objective)
	t.add("Retired", x.Verdict.Retired)
	t.add("Targets", len(x.Targets))
	t.add("Admitted", x.Admitted)
	t.add("Code", x.Code)
	t.add("Reason", x.Reason)
	return e.print(x, t)
}
