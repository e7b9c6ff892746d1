package mwkernel

import (
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// parents finds the call that a backend server works on when it makes a call
// of its own, on platforms whose backend servers do not name it. A call may
// have an id that is made from its parent's. Else the call has the time that
// its parent has left, so that its deadline is that of its parent but for the
// way and the rounding to milliseconds.
type parents struct {
	open *mwshard.Map[mwid.AttemptID, handed]
}

// handed is what a backend server was told of a call.
type handed struct {
	id       mwid.RequestID
	deadline time.Time
	failed   bool // failed tells that a call below it failed for good.
}

// fail notes that a call below a failed and that another run of a would not
// help.
func (p *parents) fail(a mwid.AttemptID) {
	p.open.Update(a, func(h handed, ok bool) (handed, bool) {
		h.failed = true
		return h, ok
	})
}

// parentSlack is by how much the deadlines of a call and its parent may
// differ: a millisecond of rounding at each of two hops and the time that a
// busy VM takes to pass the call on.
const parentSlack = 6 * time.Millisecond

func newParents() *parents {
	return &parents{open: mwshard.New[mwid.AttemptID, handed](mwshard.DefaultShards)}
}

// begin notes that the backend server got c.
func (p *parents) begin(c *mwcall.Call) {
	p.open.Set(c.Attempt, handed{id: c.ID, deadline: c.Deadline})
}

// end notes that the backend server is done with a and tells whether a call
// below it failed for good.
func (p *parents) end(a mwid.AttemptID) bool {
	h, _ := p.open.Delete(a)
	return h.failed
}

// find returns the call that c names, or else the one whose deadline is
// nearest to that of c; it returns an empty id where there is neither.
func (p *parents) find(c *mwcall.Call) mwid.AttemptID {
	var best mwid.AttemptID
	least := parentSlack
	p.open.Range(func(a mwid.AttemptID, h handed) bool {
		if c.Of != "" && h.id == c.Of {
			best = a
			return false
		}
		if d := h.deadline.Sub(c.Deadline).Abs(); d <= least {
			best, least = a, d
		}
		return true
	})
	return best
}
