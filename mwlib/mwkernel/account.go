package mwkernel

import (
	"time"

	"mustardwheel.example/mwlib/mwbudget"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// accounts hold the retry budget of each call that a backend server works on,
// keyed by the attempt under which the call was handed over. Calls that the
// backend server makes in turn name that attempt as their parent and draw on
// its account.
type accounts = mwbudget.Accounts[mwid.AttemptID, parent, mwbudget.Half]

// parent holds what the calls that a backend server makes inherit from the call
// that the backend server works on.
type parent struct {
	root       mwid.RootID
	caller     mwid.CallerName
	depth      mwunit.Depth
	importance mwunit.Importance
	deadline   time.Time
	repeated   bool
}

func newAccounts() *accounts {
	return mwbudget.NewAccounts[mwid.AttemptID, parent](mwbudget.Half{})
}

func parentOf(c *mwcall.Call) parent {
	return parent{
		root: c.Root, caller: c.Caller, depth: c.Depth,
		importance: c.Class.Importance, deadline: c.Deadline, repeated: c.Repeated,
	}
}

// inheritFromParent sets the fields that a call by this VM's backend server
// inherits from the call that the backend server works on, and draws its budget
// from the account of that call. A call whose named parent has ended gets no
// budget.
func (k *Kernel) inheritFromParent(c *mwcall.Call) {
	if c.Origin == mwcall.Local && c.ParentUnknown && !c.Deadline.IsZero() {
		c.Parent = k.parents.find(c)
		k.stat.countParentSearch(c.Parent != "")
	}
	if c.Origin != mwcall.Local || c.Parent == "" {
		return
	}
	p, n, ok := k.accounts.Draw(c.Parent)
	c.Budget, c.HasBudget = n, true
	if !ok {
		return
	}
	c.Root, c.Depth = p.root, p.depth+1
	c.Repeated = p.repeated
	c.Importance, c.HasImportance = p.importance, true
	if c.Caller == "" {
		c.Caller = p.caller
	}
	if !p.deadline.IsZero() && (c.Deadline.IsZero() || p.deadline.Before(c.Deadline)) {
		c.Deadline = p.deadline
	}
}
