package mwexperiment

import (
	"net/http"
	"time"

	"mustardwheel.example/mwbench/internal/mwclient"
	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwbench/internal/mwtestbed"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwunit"
)

// Importances of the kinds of work.
const (
	orderImportance    mwunit.Importance = 90
	proofImportance    mwunit.Importance = 80
	downloadImportance mwunit.Importance = 30
	browseImportance   mwunit.Importance = 10
)

// Retry budgets of one root call.
const (
	fewRetries  mwunit.Attempts = 2
	orderBudget mwunit.Attempts = 2
	// downloadBudget allows a download that a draining target refused to be
	// retried at another one.
	downloadBudget mwunit.Attempts = 1
)

// Path prefixes of the kinds of work.
const (
	orderPath = "/orders"
	proofPath = "/proofs"
	longPath  = "/long"
)

// standardWorks returns the kinds of work that all profiles have. Their
// policies say which are the most important and which must never run twice.
func standardWorks(p mwprofile.Profile) []mwtestbed.Work {
	return []mwtestbed.Work{
		{Name: "browsing", Method: http.MethodGet, Policy: mwconfig.Policy{
			Rank: -1, Importance: ptr(browseImportance), Repeatable: ptr(true), Retries: ptr(fewRetries),
		}},
		{Name: "orders", Service: p.Order.Service, Method: http.MethodPost, PathPrefix: orderPath, Policy: mwconfig.Policy{
			Importance: ptr(orderImportance), Repeatable: ptr(false), Retries: ptr(orderBudget),
		}},
		{Name: "proofs", Service: p.Proof.Service, PathPrefix: proofPath, Policy: mwconfig.Policy{
			Importance: ptr(proofImportance), Repeatable: ptr(true), Retries: ptr(fewRetries),
		}},
		{Name: "downloads", PathPrefix: longPath, Policy: mwconfig.Policy{
			Importance: ptr(downloadImportance), Repeatable: ptr(true), Length: mwconfig.Long, Retries: ptr(downloadBudget),
		}},
	}
}

// callerTimeout is the timeout of callers for short work.
const callerTimeout = 2 * time.Second

func browseRequest(p mwprofile.Profile) mwclient.Request {
	return mwclient.Request{
		Service: p.Browse.Service, Method: http.MethodGet, Path: "/templates",
		Caller: "shop-10", Timeout: callerTimeout,
	}
}

func orderRequest(p mwprofile.Profile) mwclient.Request {
	return mwclient.Request{
		Service: p.Order.Service, Method: http.MethodPost, Path: orderPath,
		Caller: "shop-11", Keyed: true, Timeout: callerTimeout,
	}
}

func proofRequest(p mwprofile.Profile) mwclient.Request {
	return mwclient.Request{
		Service: p.Proof.Service, Method: http.MethodGet, Path: proofPath,
		Caller: "shop-12", Timeout: callerTimeout,
	}
}

// capacityPart returns the fraction r of the capacity of all targets of s for
// short work.
func capacityPart(s mwprofile.Service, r mwunit.Ratio) mwunit.PerSecond {
	return mwunit.PerSecond(float64(s.Capacity(time.Duration(s.Time))) * float64(r))
}
