package mwretry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwbudget"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// WindowName is the name of the policy Window in the settings.
const WindowName mwregistry.Name = "window"

// Window is a retry policy for platforms that bound the repetitions of a
// service by its requests in a span of time, over all nodes. It answers a
// service that refuses or fails a part of its calls for some seconds.
//
// Each node keeps within its own part, so that all together do. A call that a
// repeated run makes counts as a repetition too. As what is allowed does not
// last for all, the more important calls may use all of it and the least
// important ones a part: without that, the many calls of little importance
// would leave nothing to the few of great one. Those between have a part of
// their own.
//
// A request that needs several calls of such a service succeeds only where
// each of them does, so that one repetition for each call of every request
// saves hardly any of them. The nearer the repetitions come to what is
// allowed, the fewer requests may use the rest, picked by the hash of their
// root, which is the same at all nodes; these get as many as they need.
type Window struct {
	chain   mwunit.Attempts
	windows *mwbudget.Windows[windowKey]
	ranks   *mwshard.Map[mwid.ServiceName, rank]
	denied  *metrics.Counter
}

// windowKey is a service, or its calls of one importance, which are counted
// by themselves as well.
type windowKey struct {
	service    mwid.ServiceName
	importance mwunit.Importance
}

// wholeService stands for the calls of all importances.
const wholeService mwunit.Importance = -1

func keyOf(s mwid.ServiceName) windowKey { return windowKey{s, wholeService} }

// rank is the range of importance that a service's calls had lately.
type rank struct {
	least, most mwunit.Importance
	since       time.Time
}

// Parameters of Window.
const (
	// leastShare is the part of the repetitions that the least important
	// calls of a service may use.
	leastShare = 0.25
	// ownShare is the part of the repetitions that calls of each importance
	// but the least may use, whatever more important ones use.
	ownShare = 0.25
	// rootsShare is the part of its repetitions that a request's place among
	// those of its importance decides about; the rest is for all of them, as
	// a small part of failures leaves it unused.
	rootsShare = 0.3
	// rankSpan is how long a range of importance holds.
	rankSpan = 20 * time.Second
)

func init() { mwkernel.RetryPolicies.Register(WindowName, newWindow) }

func newWindow(env mwkernel.Env) (mwkernel.RetryPolicy, mwregistry.Cleanup, error) {
	set := env.Settings.Retry
	return &Window{
		chain:   set.Chain,
		windows: mwbudget.NewWindows[windowKey](set.Window, set.WindowShare*set.WindowRatio, set.TokenReserve),
		ranks:   mwshard.New[mwid.ServiceName, rank](mwshard.DefaultShards),
		denied:  env.Metrics.GetOrCreateCounter("mw_retry_no_token_total"),
	}, nil, nil
}

// Start returns the budget of a root call, for all calls below it.
func (w *Window) Start(c *mwcall.Call) (mwunit.Attempts, error) {
	if c.Class.Retries == 0 {
		return 0, nil
	}
	return max(c.Class.Retries, w.chain), nil
}

// Began counts the first attempt of a call.
func (w *Window) Began(c *mwcall.Call) {
	now := time.Now()
	if c.Repeated {
		w.windows.Repeat(keyOf(c.Service), now)
		return
	}
	w.windows.First(keyOf(c.Service), now)
	w.ranks.Update(c.Service, func(r rank, ok bool) (rank, bool) {
		i := c.Class.Importance
		if !ok || now.Sub(r.since) > rankSpan {
			return rank{i, i, now}, true
		}
		r.least, r.most = min(r.least, i), max(r.most, i)
		return r, true
	})
}

// Share gives all of the balance down: what is not used comes back.
func (w *Window) Share(_ *mwcall.Call, balance mwunit.Attempts) mwunit.Attempts { return balance }

// Allow tells whether the span has room for one more repetition of c.
func (w *Window) Allow(c *mwcall.Call, _ mwcall.Head) bool {
	r, _ := w.ranks.Get(c.Service)
	now, whole := time.Now(), keyOf(c.Service)
	own := windowKey{c.Service, c.Class.Importance}
	share := r.share(c.Class.Importance)
	if c.Class.Importance > r.least && w.windows.Used(whole, own, now) < ownShare {
		share = 1
	}
	share *= mwunit.Ratio(1 - rootsShare*c.Class.Priority.Spread())
	if !w.windows.Spend(whole, share, now) {
		w.denied.Inc()
		return false
	}
	w.windows.Repeat(own, now)
	return true
}

// share returns the part of the repetitions that calls of importance i may
// use.
func (r rank) share(i mwunit.Importance) mwunit.Ratio {
	if r.most <= r.least {
		return 1
	}
	part := float64(min(max(i, r.least), r.most)-r.least) / float64(r.most-r.least)
	return mwunit.Ratio(leastShare + (1-leastShare)*part)
}

// Succeeded does nothing: successes earn nothing.
func (w *Window) Succeeded(*mwcall.Call) {}

// HedgeAfter hedges nothing.
func (w *Window) HedgeAfter(*mwcall.Call) (time.Duration, bool) { return 0, false }

// Observe does nothing.
func (w *Window) Observe(*mwcall.Call, mwcall.Sample) {}
