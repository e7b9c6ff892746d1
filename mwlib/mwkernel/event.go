package mwkernel

import (
	"context"
	"log/slog"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
)

// attemptLog is one attempt of a call, as logged.
type attemptLog struct {
	Node      mwid.NodeID
	Zone      mwid.ZoneName
	Code      mwcode.Code
	Failed    bool          `json:",omitempty"`
	Took      time.Duration // in nanoseconds, as all durations in log lines
	Threshold mwcall.Priority
}

// Messages of the log lines about calls; docs/OPERATIONS.md lists them.
const (
	eventRefused  = "call refused"
	eventFailed   = "call failed"
	eventRetried  = "call answered after retries"
	eventDeclined = "call declined by its target"
	eventAnswered = "call answered"
)

// logEnd logs how a call ended at the node that routed it. A call that succeeded
// at the first attempt is logged at level debug.
func (r *routing) logEnd(code mwcode.Code, failed bool, h mwcall.Head) {
	level, msg := slog.LevelDebug, eventAnswered
	switch {
	case code.NotRun():
		level, msg = slog.LevelInfo, eventRefused
	case code != mwcode.OK || failed:
		level, msg = slog.LevelInfo, eventFailed
	case len(r.attempts) > 1:
		level, msg = slog.LevelInfo, eventRetried
	}
	log := r.k.log
	if !log.Enabled(context.Background(), level) {
		return
	}
	c := r.c
	left, _ := c.Remaining(time.Now())
	log.Log(context.Background(), level, msg, "ID", c.ID, "Root", c.Root, "Parent", c.Parent,
		"Service", c.Service, "Route", c.Class.Verdict.Route, "Version", c.Class.Version,
		"Importance", c.Class.Importance, "Repeatable", c.Class.Repeatable,
		"Code", int(code), "Reason", code.String(), "Left", left, "RetryAfter", h.RetryAfter,
		"Budget", r.balance, "Attempts", r.attempts)
}

// logDeclined logs why this node did not hand over a call to its backend
// server.
func (k *Kernel) logDeclined(c *mwcall.Call, code mwcode.Code) {
	if !k.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	l := k.admit.Load(c.Service)
	left, _ := c.Remaining(time.Now())
	k.log.Info(eventDeclined, "ID", c.ID, "Root", c.Root, "Service", c.Service,
		"Route", c.Class.Verdict.Route, "Version", c.Class.Version, "Code", int(code), "Reason", code.String(),
		"Priority", c.Class.Priority, "Left", left, "Limit", l.Limit, "InFlight", l.InFlight,
		"Queued", l.Queued, "Threshold", l.Threshold)
}
