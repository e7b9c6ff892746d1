package mwfakeserver

import (
	"context"
	"errors"
	"sync/atomic"

	"mustardwheel.example/mwlib/mwunit"
)

// errShed is the error of a call for which the queue has no room.
var errShed = errors.New("queue is full")

// gate lets as many calls run as there are slots; the others wait in order
// of arrival, up to the length of the queue.
type gate struct {
	slots  chan struct{}
	queue  int64
	queued atomic.Int64
}

func newGate(slots, queue mwunit.Slots) *gate {
	return &gate{slots: make(chan struct{}, slots), queue: int64(queue)}
}

// enter waits for a slot. It returns errShed where the queue is full, or the
// error of ctx.
func (g *gate) enter(ctx context.Context) error {
	select {
	case g.slots <- struct{}{}:
		return nil
	default:
	}
	defer g.queued.Add(-1)
	if g.queued.Add(1) > g.queue {
		return errShed
	}
	select {
	case g.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gate) exit() { <-g.slots }

// load returns how many calls run and wait.
func (g *gate) load() Load {
	return Load{InFlight: mwunit.Slots(len(g.slots)), Queued: mwunit.Slots(g.queued.Load())}
}
