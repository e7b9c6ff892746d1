package mwkernel

import (
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// accounts hold the retry budget of each call that a backend server works
// on, by the attempt under which the call was handed over. The backend
// server's own calls name that attempt as their parent and draw on its
// account. Whatever the calls do at the same time, the sum of what is drawn
// never exceeds what was opened: each step happens under the shard's lock.
type accounts struct {
	m *mwshard.Map[mwid.AttemptID, account]
}

// account is the state of one call that a backend server works on.
type account struct {
	root       mwid.RootID
	caller     mwid.CallerName
	depth      mwunit.Depth
	importance mwunit.Importance
	balance    mwunit.Attempts
}

func newAccounts() *accounts {
	return &accounts{m: mwshard.New[mwid.AttemptID, account](mwshard.DefaultShards)}
}

// open opens the account of c.
func (a *accounts) open(c *mwcall.Call) {
	a.m.Set(c.Attempt, account{
		root: c.Root, caller: c.Caller, depth: c.Depth,
		importance: c.Class.Importance, balance: c.Budget,
	})
}

// close ends the account of id and returns what is left on it.
func (a *accounts) close(id mwid.AttemptID) mwunit.Attempts {
	v, _ := a.m.Delete(id)
	return v.balance
}

// draw takes half of what is left, rounded up, for one more call under id.
// Half leaves something for calls beside it; ok is false where the account
// is not open.
func (a *accounts) draw(id mwid.AttemptID) (acc account, drawn mwunit.Attempts, ok bool) {
	a.m.Update(id, func(v account, there bool) (account, bool) {
		if !there {
			return v, false
		}
		ok = true
		drawn = (v.balance + 1) / 2
		v.balance -= drawn
		acc = v
		return v, true
	})
	return acc, drawn, ok
}

// restore gives back what a call under id did not use. It tells whether the
// account was still open; what comes back later is lost, never spent twice.
func (a *accounts) restore(id mwid.AttemptID, n mwunit.Attempts) {
	a.m.Update(id, func(v account, there bool) (account, bool) {
		v.balance += n
		return v, there
	})
}
