package mwfakeserver

import (
	"context"
	"errors"
	"sync/atomic"

	"mustardwheel.example/mwlib/mwunit"
)

// errQueueFull is returned if the queue is full.
var errQueueFull = errors.New("queue is full")

// gate limits the calls that run to the number of slots. Up to queue further
// calls wait in order of arrival.
type gate struct {
	slots  chan struct{}
	queue  int64
	queued atomic.Int64
}

func newGate(slots, queue mwunit.Slots) *gate {
	return &gate{slots: make(chan struct{}, slots), queue: int64(queue)}
}

// enter waits for a slot. It returns errQueueFull if the queue is full, or
// ctx.Err() if ctx is done first.
func (g *gate) enter(ctx context.Context) error {
	select {
	case g.slots <- struct{}{}:
		return nil
	default:
	}
	defer g.queued.Add(-1)
	if g.queued.Add(1) > g.queue {
		return errQueueFull
	}
	select {
	case g.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gate) exit() { <-g.slots }

// load returns the numbers of running and waiting calls.
func (g *gate) load() Load {
	return Load{InFlight: mwunit.Slots(len(g.slots)), Queued: mwunit.Slots(g.queued.Load())}
}
