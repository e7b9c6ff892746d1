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

// Importances of the users' work.
const (
	orderImportance    mwunit.Importance = 90
	proofImportance    mwunit.Importance = 80
	downloadImportance mwunit.Importance = 30
	browseImportance   mwunit.Importance = 10
)

// Retries of one whole request.
const (
	fewRetries  mwunit.Attempts = 2
	orderBudget mwunit.Attempts = 2
	// downloadBudget lets a download that a leaving target refused go to
	// another one.
	downloadBudget mwunit.Attempts = 1
)

// Paths of kinds of work.
const (
	orderPath = "/orders"
	proofPath = "/proofs"
	longPath  = "/long"
)

// standardWorks are the kinds of work that both users know: what matters
// most, and what must never repeat.
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

// callerTimeout is how long callers wait for short work.
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

// capacityPart returns the part r of the short work that all targets of s can do.
func capacityPart(s mwprofile.Service, r mwunit.Ratio) mwunit.PerSecond {
	return mwunit.PerSecond(float64(s.Capacity(time.Duration(s.Time))) * float64(r))
}
