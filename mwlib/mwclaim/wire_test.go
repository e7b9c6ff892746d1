package mwclaim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"mustardwheel.example/mwlib/mwclaim"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwunit"
)

// wire carries calls between ledgers and loses some of their messages.
type wire struct {
	mu       sync.Mutex
	services map[mwid.Address]*mwclaim.GroupService
	random   *rand.Rand
	lost     mwunit.Ratio // fraction of requests and of replies that are lost
	messages int
}

func newWire(seed uint64) *wire {
	return &wire{
		services: make(map[mwid.Address]*mwclaim.GroupService),
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

func (w *wire) setLost(r mwunit.Ratio) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = r
}

// drawLoss reports whether the next message is lost, at random.
func (w *wire) drawLoss() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < float64(w.lost)
}

// known returns every node except self.
func (w *wire) known(self mwid.Address) []mwid.Address {
	w.mu.Lock()
	defer w.mu.Unlock()
	var as []mwid.Address
	for a := range w.services {
		if a != self {
			as = append(as, a)
		}
	}
	return as
}

// endpoint is one node's connection to a wire.
type endpoint struct {
	w    *wire
	self mwid.Address
}

var _ mwkernel.Peers = endpoint{}

func (e endpoint) Handle(_ string, rcvr any) error {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.w.services[e.self] = rcvr.(*mwclaim.GroupService)
	return nil
}

func (e endpoint) Call(ctx context.Context, to mwid.Address, _ string, req, res any) error {
	e.w.mu.Lock()
	s := e.w.services[to]
	e.w.messages++
	e.w.mu.Unlock()
	if e.w.drawLoss() {
		return mwcode.New(mwcode.Unreachable)
	}
	done := make(chan error, 1)
	var reply mwclaim.GroupReply
	go func() { done <- s.Group(req.(mwclaim.GroupRequest), &reply) }()
	select {
	case err := <-done:
		if e.w.drawLoss() || ctx.Err() != nil {
			return mwcode.New(mwcode.Unreachable)
		}
		*res.(*mwclaim.GroupReply) = reply
		return err
	case <-ctx.Done():
		return mwcode.New(mwcode.Unreachable)
	}
}

// withGroup returns the option that makes node i share writers with the other
// nodes on w.
func (w *wire) withGroup(i int) mwclaim.Option {
	self := mwid.Address(fmt.Sprintf("10.0.0.%d:7002", i))
	known := func() []mwid.Address { return w.known(self) }
	return mwclaim.WithGroup(endpoint{w, self}, self, known, 1)
}
