package mwroutesim

import (
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwunit"
)

// queuedTarget is a target with slots and a queue. It declines a call if the
// queue is full.
type queuedTarget struct {
	mwcall.Target
	hold time.Duration

	mu       sync.Mutex
	inFlight mwunit.Slots
	waiting  []chan struct{}
}

// Parameters of the targets of the bottom service of the users' large deployment.
const (
	queuedSlots mwunit.Slots = 58
	// queueWait is the time within which a queued call must start.
	queueWait = 50 * time.Millisecond
	baseHold  = 99 * time.Millisecond
)

// serve serves one call, or declines it with code Overloaded.
func (t *queuedTarget) serve() mwcall.Head {
	arrived := time.Now()
	t.mu.Lock()
	if t.inFlight >= queuedSlots {
		if time.Duration(len(t.waiting))*t.hold/time.Duration(queuedSlots) >= queueWait {
			defer t.mu.Unlock()
			return mwcall.Head{Code: mwcode.Overloaded, Report: t.report(arrived)}
		}
		turn := make(chan struct{})
		t.waiting = append(t.waiting, turn)
		t.mu.Unlock()
		<-turn
		t.mu.Lock()
	} else {
		t.inFlight++
	}
	t.mu.Unlock()
	time.Sleep(t.hold)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) > 0 {
		close(t.waiting[0])
		t.waiting = t.waiting[1:]
	} else {
		t.inFlight--
	}
	return mwcall.Head{Report: t.report(arrived)}
}

func (t *queuedTarget) report(arrived time.Time) mwcall.Report {
	return mwcall.Report{
		InFlight: t.inFlight, Queued: mwunit.Slots(len(t.waiting)), Limit: queuedSlots,
		Hold: t.hold, Route: t.hold, Spent: time.Since(arrived),
	}
}
