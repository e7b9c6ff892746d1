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

// WindowName is the name of the retry policy Window in the settings.
const WindowName mwregistry.Name = "window"

// Window is a retry policy for platforms that limit the retries of a service,
// over all nodes, to a fraction of its requests in a span of time. It is meant
// for a service that refuses or fails a part of its calls for some seconds.
// Each node keeps its retries within its own part, so that all nodes together
// stay within the limit. A call that belongs to a repeated run of a request
// also counts as a retry.
//
// During such a failure, the retries allowed do not suffice for all calls. The
// most important calls may use all of them and the least important ones only a
// part, since otherwise the many unimportant calls would leave none for the few
// important ones. A part of the retries is guaranteed to the calls of each
// importance above the lowest.
//
// A request that needs several calls of such a service succeeds only if each of
// them does, so one retry for each call of every request would let few more
// requests succeed. The closer the retries come to the limit, the fewer requests
// may use the remaining ones, and those requests get as many as they need. They
// are selected by the hash of their root call, which is the same at all nodes.
type Window struct {
	rootBudget mwunit.Attempts
	windows    *mwbudget.Windows[windowKey]
	ranges     *mwshard.Map[mwid.ServiceName, importanceRange]
	denied     *metrics.Counter
}

// windowKey identifies a service, or its calls of one importance, which are
// also counted separately.
type windowKey struct {
	service    mwid.ServiceName
	importance mwunit.Importance
}

// wholeService is the importance in the key for all calls of a service.
const wholeService mwunit.Importance = -1

func serviceKey(s mwid.ServiceName) windowKey { return windowKey{s, wholeService} }

// importanceRange is the range of importance of a service's recent calls.
type importanceRange struct {
	min, max mwunit.Importance
	since    time.Time
}

// Parameters of Window.
const (
	// minShare is the fraction of the retries that a service's least
	// important calls may use.
	minShare = 0.25
	// guaranteedShare is the fraction of the retries guaranteed to the calls of
	// each importance above the lowest, however many more important calls use.
	guaranteedShare = 0.25
	// selectedShare is the fraction of the retries that is reserved for a part
	// of the requests. How much of it a request may use depends on its position
	// among the requests of its importance (Priority.Spread), from all at
	// position 0 to none at position 1. All requests may use the remaining
	// retries, which suffice if only a small fraction of calls fails.
	selectedShare = 0.3
	// rangeSpan is the time after which a service's range of importance is
	// reset to the importance of the next first attempt.
	rangeSpan = 20 * time.Second
)

func init() { mwkernel.RetryPolicies.Register(WindowName, newWindow) }

func newWindow(env mwkernel.Env) (mwkernel.RetryPolicy, mwregistry.Cleanup, error) {
	set := env.Settings.Retry
	return &Window{
		rootBudget: set.Chain,
		windows:    mwbudget.NewWindows[windowKey](set.Window, set.WindowShare*set.WindowRatio, set.TokenReserve),
		ranges:     mwshard.New[mwid.ServiceName, importanceRange](mwshard.DefaultShards),
		denied:     env.Metrics.GetOrCreateCounter("mw_retry_no_token_total"),
	}, nil, nil
}

// RootBudget returns the budget of a root call for all calls below it.
func (w *Window) RootBudget(c *mwcall.Call) (mwunit.Attempts, error) {
	if c.Class.Retries == 0 {
		return 0, nil
	}
	return max(c.Class.Retries, w.rootBudget), nil
}

// FirstAttempt counts the first attempt of a call. In a repeated run it counts
// as a retry.
func (w *Window) FirstAttempt(c *mwcall.Call) {
	now := time.Now()
	if c.Repeated {
		w.windows.CountRetry(serviceKey(c.Service), now)
		return
	}
	w.windows.First(serviceKey(c.Service), now)
	w.ranges.Update(c.Service, func(r importanceRange, ok bool) (importanceRange, bool) {
		i := c.Class.Importance
		if !ok || now.Sub(r.since) > rangeSpan {
			return importanceRange{i, i, now}, true
		}
		r.min, r.max = min(r.min, i), max(r.max, i)
		return r, true
	})
}

// Share passes down the whole balance, as the unused part comes back.
func (w *Window) Share(_ *mwcall.Call, balance mwunit.Attempts) mwunit.Attempts { return balance }

// Allow reports whether one more retry of c is allowed, and counts it if so.
func (w *Window) Allow(c *mwcall.Call, _ mwcall.Head) bool {
	r, _ := w.ranges.Get(c.Service)
	now, whole := time.Now(), serviceKey(c.Service)
	own := windowKey{c.Service, c.Class.Importance}
	share := r.share(c.Class.Importance)
	if c.Class.Importance > r.min && w.windows.UsedShare(whole, own, now) < guaranteedShare {
		share = 1
	}
	share *= mwunit.Ratio(1 - selectedShare*c.Class.Priority.Spread())
	if !w.windows.Spend(whole, share, now) {
		w.denied.Inc()
		return false
	}
	w.windows.CountRetry(own, now)
	return true
}

// share returns the fraction of the retries that calls of importance i may use.
func (r importanceRange) share(i mwunit.Importance) mwunit.Ratio {
	if r.max <= r.min {
		return 1
	}
	part := float64(min(max(i, r.min), r.max)-r.min) / float64(r.max-r.min)
	return mwunit.Ratio(minShare + (1-minShare)*part)
}

// Succeeded does nothing, since successes do not affect how many retries are
// allowed.
func (w *Window) Succeeded(*mwcall.Call) {}

// HedgeAfter returns false: nothing is hedged.
func (w *Window) HedgeAfter(*mwcall.Call) (time.Duration, bool) { return 0, false }

// Observe does nothing.
func (w *Window) Observe(*mwcall.Call, mwcall.Sample) {}
