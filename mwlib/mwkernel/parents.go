package mwkernel

import (
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// parents holds the calls that a backend server works on. On platforms whose
// backend servers do not name the parent of a call, it finds the parent by one
// of two properties. The platform may derive the id of a call from that of its
// parent. Otherwise the call carries the remaining time of its parent, so that
// the two deadlines differ only by the transit time and the rounding to
// milliseconds.
type parents struct {
	open *mwshard.Map[mwid.AttemptID, openCall]
}

// openCall is a call as the backend server received it.
type openCall struct {
	id          mwid.RequestID
	deadline    time.Time
	childFailed bool // a call made for this one failed, and a retry elsewhere would not help
}

// markChildFailed records that a call made for attempt a failed, and that
// another run of that attempt's call would not help.
func (p *parents) markChildFailed(a mwid.AttemptID) {
	p.open.Update(a, func(h openCall, ok bool) (openCall, bool) {
		h.childFailed = true
		return h, ok
	})
}

// parentSlack is the maximum difference between the deadlines of a call and of
// its parent: a millisecond of rounding at each of two hops, and the time that
// a busy VM takes to pass on the call.
const parentSlack = 6 * time.Millisecond

func newParents() *parents {
	return &parents{open: mwshard.New[mwid.AttemptID, openCall](mwshard.DefaultShards)}
}

// add records that the backend server got c.
func (p *parents) add(c *mwcall.Call) {
	p.open.Set(c.Attempt, openCall{id: c.ID, deadline: c.Deadline})
}

// remove records that the backend server finished attempt a. It reports whether
// markChildFailed was called for that attempt.
func (p *parents) remove(a mwid.AttemptID) bool {
	h, _ := p.open.Delete(a)
	return h.childFailed
}

// find returns the attempt of the call that c.ParentRequest identifies, or else
// the attempt of the call whose deadline is nearest to that of c within
// parentSlack. It returns an empty id if there is neither.
func (p *parents) find(c *mwcall.Call) mwid.AttemptID {
	var best mwid.AttemptID
	minDiff := parentSlack
	p.open.Range(func(a mwid.AttemptID, h openCall) bool {
		if c.ParentRequest != "" && h.id == c.ParentRequest {
			best = a
			return false
		}
		if d := h.deadline.Sub(c.Deadline).Abs(); d <= minDiff {
			best, minDiff = a, d
		}
		return true
	})
	return best
}
