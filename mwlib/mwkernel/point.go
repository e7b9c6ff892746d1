package mwkernel

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwunit"
)

// Classifier says what a call is.
type Classifier interface {
	// Classify fills c.Class from s for a call to a backend server v.
	Classify(c *mwcall.Call, s *mwconfig.Snapshot, v mwconfig.Server)
	// Observe learns how long a call took.
	Observe(c *mwcall.Call, s mwcall.Sample)
}

// Release ends one admitted call; it must be called once.
type Release func(mwcall.Sample)

// Load is an admission's present state for one service.
type Load struct {
	Limit     mwunit.Slots
	InFlight  mwunit.Slots
	Queued    mwunit.Slots
	Threshold mwcall.Priority
	// Hold is the mean time that a call holds its slot; 0 where it is not
	// known.
	Hold time.Duration
}

// RetryAfter returns the time until those who wait now have started.
func (l Load) RetryAfter() time.Duration {
	return l.Hold * time.Duration(l.Queued+1) / time.Duration(max(l.Limit, 1))
}

// Admission decides at the target's node which calls start, and when.
type Admission interface {
	// Announce sets the bounds of a service from its announcement.
	Announce(a mwcall.Announcement)
	// Admit waits until c may start. Its error has a code that tells that c
	// did not run.
	Admit(ctx context.Context, c *mwcall.Call) (Release, error)
	// Load returns the present state of a service.
	Load(s mwid.ServiceName) Load
	// Hold returns the mean time for which calls of the route of c hold their
	// slot; 0 where it is not known.
	Hold(c *mwcall.Call) time.Duration
}

// Router picks targets.
type Router interface {
	// Pick returns the target for c among ts, none of tried. Its error has
	// the code mwcode.NoTarget or mwcode.EarlyRefusal.
	Pick(c *mwcall.Call, ts []mwcall.Target, tried mwset.Set[mwid.NodeID]) (mwcall.Target, error)
	// Begin notes that c is sent to t; the returned function takes what
	// was seen and must be called once.
	Begin(c *mwcall.Call, t mwcall.Target) func(mwcall.Head, mwcall.Sample)
}

// RetryPolicy spends the retry budget of a root.
type RetryPolicy interface {
	// Start returns the budget of a call that came without one, or an error
	// with mwcode.CallerRatio where the caller resubmits too much.
	Start(c *mwcall.Call) (mwunit.Attempts, error)
	// Began notes a call that is about to be sent for the first time.
	Began(c *mwcall.Call)
	// Share returns how much of balance goes down with the next attempt.
	Share(c *mwcall.Call, balance mwunit.Attempts) mwunit.Attempts
	// Allow tells whether c may be tried again after an attempt ended in h.
	// The kernel has checked that the budget has something left and that a
	// repetition is safe; it takes one from the budget where Allow says yes.
	Allow(c *mwcall.Call, h mwcall.Head) bool
	// Succeeded notes a first attempt that ended well.
	Succeeded(c *mwcall.Call)
	// HedgeAfter returns how long to wait for an answer before a second
	// attempt starts elsewhere; ok is false where c is not hedged.
	HedgeAfter(c *mwcall.Call) (d time.Duration, ok bool)
	// Observe learns from the answer time of an attempt.
	Observe(c *mwcall.Call, s mwcall.Sample)
}

// Claim is the right of one attempt to run a call that must not repeat.
type Claim interface {
	// Kept returns the answer of an earlier attempt, where one is kept.
	Kept() (mwcall.Kept, bool)
	// Begin must be called right before the hand-over. Its error tells that
	// the right is gone, and then the call must not be handed over. It
	// succeeds once at the most.
	Begin() error
	// NotRun writes down that the call did not run.
	NotRun(ctx context.Context) error
	// Finish keeps the answer.
	Finish(ctx context.Context, k mwcall.Kept) error
}

// Ledger gives out claims.
type Ledger interface {
	// Claim claims c.Key for c.Attempt. Errors: mwcode.ClaimsAway where the
	// call did not run; mwcode.Held or mwcode.ClaimUnknown where it may
	// have; mwcode.KeyReused.
	Claim(ctx context.Context, c *mwcall.Call) (Claim, error)
}

// ZoneStatus is what a node knows of one availability zone.
type ZoneStatus struct {
	Zone      mwid.ZoneName
	Region    mwid.RegionName
	Reachable bool
	Nodes     int
	// Lowest and Highest bound the versions known to be in force.
	Lowest  mwid.Version
	Highest mwid.Version
	// Unheard are the nodes that were not heard lately.
	Unheard []mwid.NodeID
}

// Membership knows the targets.
type Membership interface {
	// Targets returns the known targets of s; the slice never changes.
	Targets(s mwid.ServiceName) []mwcall.Target
	// Services returns the names of all known services.
	Services() []mwid.ServiceName
	// Announce makes this VM's backend server known to others.
	Announce(a mwcall.Announcement)
	// Withdraw makes known that the backend server is gone.
	Withdraw(s mwid.ServiceName)
	// Leave makes known that this node takes no new work.
	Leave()
	// SetVersion makes known which configuration is in force here.
	SetVersion(v mwid.Version)
	// Newest returns the highest version known to be in force anywhere, and
	// a node that has it.
	Newest() (mwid.Version, mwid.Address)
	// Peers returns the addresses of up to n random live nodes, own zone
	// first.
	Peers(n int) []mwid.Address
	// Zones returns the state of each known availability zone.
	Zones() []ZoneStatus
}

// Configuration gives the configuration in force.
type Configuration interface {
	// Snapshot returns the configuration in force, or nil where the node
	// has none yet.
	Snapshot() *mwconfig.Snapshot
}

// Peers carries control messages between nodes. Methods and their messages
// follow net/rpc.
type Peers interface {
	// Handle serves the methods of rcvr under name.
	Handle(name string, rcvr any) error
	// Call calls method "Name.Method" at addr; ctx bounds it.
	Call(ctx context.Context, addr mwid.Address, method string, req, res any) error
}

// Factory makes a plug-in.
type Factory[T any] = mwregistry.Factory[Env, T]

// The extension points. A plug-in registers itself from an init function.
var (
	Stores         = mwregistry.New[Env, mwstore.Store]("store")
	Memberships    = mwregistry.New[Env, Membership]("membership")
	Configurations = mwregistry.New[Env, Configuration]("configuration")
	Classifiers    = mwregistry.New[Env, Classifier]("classifier")
	Admissions     = mwregistry.New[Env, Admission]("admission")
	Routers        = mwregistry.New[Env, Router]("router")
	RetryPolicies  = mwregistry.New[Env, RetryPolicy]("retry policy")
	Ledgers        = mwregistry.New[Env, Ledger]("ledger")
)
