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

// Classifier assigns each call its class, such as its priority and length.
type Classifier interface {
	// Classify sets c.Class from s for a call to backend server v.
	Classify(c *mwcall.Call, s *mwconfig.Snapshot, v mwconfig.Server)
	// Observe records the duration of a finished call.
	Observe(c *mwcall.Call, s mwcall.Sample)
}

// Release frees the slot of one admitted call; it must be called exactly once.
type Release func(mwcall.Sample)

// Load is the present state of admission for one service.
type Load struct {
	Limit     mwunit.Slots
	InFlight  mwunit.Slots
	Queued    mwunit.Slots
	Threshold mwcall.Priority
	// Hold is the mean time for which a call holds its slot; 0 if unknown.
	Hold time.Duration
}

// RetryAfter estimates how long a call that joined the queue now would wait for
// a slot.
func (l Load) RetryAfter() time.Duration {
	return l.Hold * time.Duration(l.Queued+1) / time.Duration(max(l.Limit, 1))
}

// Admission decides at the target's node which calls start, and when.
type Admission interface {
	// Announce sets the limits of a service from its announcement.
	Announce(a mwcall.Announcement)
	// Admit waits until c may start. Its error has a code for which
	// mwcode.Code.NotRun is true.
	Admit(ctx context.Context, c *mwcall.Call) (Release, error)
	// RefuseQueued refuses the queued calls of a service with mwcode.Draining,
	// because its backend server takes no calls any more.
	RefuseQueued(s mwid.ServiceName)
	// Load returns the present state of a service.
	Load(s mwid.ServiceName) Load
	// Hold returns the mean time for which calls of the route of c hold their
	// slot; 0 if unknown.
	Hold(c *mwcall.Call) time.Duration
}

// Router picks targets.
type Router interface {
	// Pick returns a target for c from ts that is not in tried. Its error has
	// the code mwcode.NoTarget or mwcode.EarlyRefusal.
	Pick(c *mwcall.Call, ts []mwcall.Target, tried mwset.Set[mwid.NodeID]) (mwcall.Target, error)
	// Begin records that c is sent to t. The returned function records the
	// result of the attempt and must be called exactly once.
	Begin(c *mwcall.Call, t mwcall.Target) func(mwcall.Head, mwcall.Sample)
}

// RetryPolicy decides how the retry budget of a root call is spent.
type RetryPolicy interface {
	// RootBudget returns the budget of a call that arrived without one, or an error
	// with mwcode.CallerRatio if the caller resubmits too many calls.
	RootBudget(c *mwcall.Call) (mwunit.Attempts, error)
	// FirstAttempt records a call that is about to be sent for the first time.
	FirstAttempt(c *mwcall.Call)
	// Share returns the part of balance that is sent along with the next
	// attempt.
	Share(c *mwcall.Call, balance mwunit.Attempts) mwunit.Attempts
	// Allow reports whether c may be retried after an attempt that ended in h.
	// The kernel calls it only if the budget is not used up and a repetition
	// is safe; if Allow returns true, the kernel takes one retry from the
	// budget.
	Allow(c *mwcall.Call, h mwcall.Head) bool
	// Succeeded records a call that ended without a failure.
	Succeeded(c *mwcall.Call)
	// HedgeAfter returns how long to wait for an answer before a second
	// attempt starts at another target; ok is false if c is not hedged.
	HedgeAfter(c *mwcall.Call) (d time.Duration, ok bool)
	// Observe records the answer time of an attempt.
	Observe(c *mwcall.Call, s mwcall.Sample)
}

// Claim is the exclusive right of one attempt to run a call that is not
// repeatable.
type Claim interface {
	// StoredAnswer returns the stored answer of an earlier attempt and whether
	// there is one.
	StoredAnswer() (mwcall.EncodedAnswer, bool)
	// Begin must be called directly before the call is handed over. If it
	// returns an error, the claim was lost and the call must not be handed
	// over. Begin succeeds at most once.
	Begin() error
	// RecordNotRun records that the call did not run.
	RecordNotRun(ctx context.Context) error
	// Finish stores the answer.
	Finish(ctx context.Context, k mwcall.EncodedAnswer) error
}

// Ledger issues claims.
type Ledger interface {
	// Claim claims c.Key for c.Attempt. The error code is mwcode.ClaimsAway if
	// the call did not run, mwcode.Held or mwcode.ClaimUnknown if it may have
	// run, and mwcode.KeyReused if the key belongs to another call.
	Claim(ctx context.Context, c *mwcall.Call) (Claim, error)
}

// ZoneStatus is the state of one availability zone as seen by a node.
type ZoneStatus struct {
	Zone      mwid.ZoneName
	Region    mwid.RegionName
	Reachable bool
	Nodes     int
	// Lowest and Highest are the bounds of the versions known to be in force.
	Lowest  mwid.Version
	Highest mwid.Version
	// Unheard lists the nodes from which nothing was received recently.
	Unheard []mwid.NodeID
}

// Membership tracks the targets of all services and announces this node's own.
type Membership interface {
	// Targets returns the known targets of s; the slice is never modified.
	Targets(s mwid.ServiceName) []mwcall.Target
	// Services returns the names of all known services.
	Services() []mwid.ServiceName
	// Announce publishes the announcement of this VM's backend server.
	Announce(a mwcall.Announcement)
	// Withdraw publishes that the backend server of s is gone.
	Withdraw(s mwid.ServiceName)
	// Leave publishes that this node takes no new work.
	Leave()
	// SetVersion publishes the version of the configuration in force here.
	SetVersion(v mwid.Version)
	// Newest returns the highest version known to be in force on any node, and
	// the address of a node that has it.
	Newest() (mwid.Version, mwid.Address)
	// Peers returns the addresses of up to n random live nodes, those of the
	// own availability zone first.
	Peers(n int) []mwid.Address
	// Zones returns the state of each known availability zone.
	Zones() []ZoneStatus
}

// Configuration provides the configuration in force.
type Configuration interface {
	// Snapshot returns the configuration in force, or nil if the node has none
	// yet.
	Snapshot() *mwconfig.Snapshot
}

// Peers carries control messages between nodes. Methods and messages follow
// the conventions of net/rpc.
type Peers interface {
	// Handle serves the exported methods of rcvr under name.
	Handle(name string, rcvr any) error
	// Call calls method "Name.Method" of the node at addr, bounded by ctx.
	Call(ctx context.Context, addr mwid.Address, method string, req, res any) error
}

// Factory creates a plug-in.
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
