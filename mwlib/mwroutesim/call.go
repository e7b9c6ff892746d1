// Package mwroutesim simulates nodes that call targets through a router, for tests in
// virtual time: a bottom service under load, and backend servers that become slow.
package mwroutesim

import (
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwset"
)

// MaxAttempts is the maximum number of attempts of a call.
const MaxAttempts = 3

// outcome is the course of one call.
type outcome struct {
	tries    int
	declines int
	ok       bool // ok reports whether the last attempt was served.
}

// caller makes calls through the router of one node.
type caller struct {
	router  mwkernel.Router
	targets []mwcall.Target
	newCall func() *mwcall.Call                    // newCall returns the call that the router sees.
	answer  func(target mwcall.Target) mwcall.Head // answer returns when the answer has arrived.
}

// call makes one call, with further attempts at other targets if it is declined.
func (x caller) call() outcome {
	var o outcome
	tried := mwset.New[mwid.NodeID]()
	for range MaxAttempts {
		t, err := x.router.Pick(x.newCall(), x.targets, tried)
		if err != nil {
			break
		}
		tried.Add(t.Node)
		done, sent := x.router.Begin(x.newCall(), t), time.Now()
		h := x.answer(t)
		took := time.Since(sent)
		done(h, mwcall.Sample{Took: took, First: took, Code: h.Code})
		o.tries++
		if o.ok = h.Code == mwcode.OK; o.ok {
			break
		}
		o.declines++
	}
	return o
}
