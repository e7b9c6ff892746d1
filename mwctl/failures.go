package main

import (
	"cmp"
	"io"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwid"
)

// failures is the command that counts the failed requests in the logs of many
// nodes by their causes.
type failures struct {
	After  time.Duration `long:"after" description:"leave out requests whose first line is earlier than this after the first line of the logs"`
	Before time.Duration `long:"before" description:"leave out requests whose first line is later than this after the first line of the logs; 0s for no limit"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"logs of nodes; standard input by default"`
	} `positional-args:"yes"`
}

// failureCause is what the cause of a failed request has in common with those of
// other requests.
type failureCause struct {
	Service mwid.ServiceName // service that the caller requested
	Outcome string           // message about the request itself
	// Below is the number of calls between the request and its cause.
	Below int
	// CauseService is the service that the failed call was made to.
	CauseService mwid.ServiceName
	Cause        string
	Reason       string
}

// failureCount is the number of requests with one cause.
type failureCount struct {
	failureCause
	Requests int
	Example  string // id of one of them, for trace
}

func (v *failures) run(e *env) error {
	requests := make(map[string][]traceLine)
	var first time.Time
	err := forEachLog(v.Args.Files, func(name string, in io.Reader) error {
		return scanLog(name, in, "", func(l traceLine) {
			if first.IsZero() || l.Time.Before(first) {
				first = l.Time
			}
			requests[l.request()] = append(requests[l.request()], l)
		})
	})
	if err != nil {
		return err
	}
	counts := make(map[failureCause]*failureCount)
	for id, ls := range requests {
		sortByTime(ls)
		if at := ls[0].Time.Sub(first); at < v.After || v.Before > 0 && at > v.Before {
			continue
		}
		c, ok := failureOf(id, ls)
		if !ok {
			continue
		}
		if counts[c] == nil {
			counts[c] = &failureCount{failureCause: c, Example: id}
		}
		counts[c].Requests++
	}
	return printFailures(e, counts)
}

// failureOf returns the cause of the failure of request id, whose lines are ls in
// order of time. It returns false if the request did not fail.
func failureOf(id string, ls []traceLine) (failureCause, bool) {
	i := slices.IndexFunc(ls, func(l traceLine) bool { return l.ID == id && l.ended() && l.failed() })
	if i < 0 {
		return failureCause{}, false
	}
	cause := ls[causeOf(ls)]
	return failureCause{
		Service: mwid.ServiceName(ls[i].Service), Outcome: ls[i].Message, Below: cause.depth() - ls[i].depth(),
		CauseService: mwid.ServiceName(cause.Service), Cause: cause.Message, Reason: cause.lastReason(),
	}, true
}

func printFailures(e *env, counts map[failureCause]*failureCount) error {
	var all []failureCount
	for _, n := range counts {
		all = append(all, *n)
	}
	slices.SortFunc(all, func(a, b failureCount) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Example, b.Example))
	})
	t := &table{head: []string{"REQUESTS", "SERVICE", "OUTCOME", "BELOW", "AT SERVICE", "CAUSE", "REASON", "EXAMPLE"}}
	for _, n := range all {
		t.add(n.Requests, n.Service, n.Outcome, n.Below, n.CauseService, n.Cause, n.Reason, n.Example)
	}
	return e.print(all, t)
}
