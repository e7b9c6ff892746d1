package mwconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Route sends the requests of one host whose path starts with PathPrefix to
// services. Among the routes of a host, the one with the longest matching
// prefix applies. Policies override the settings of a route.
type Route struct {
	Host       string
	PathPrefix string
	// Split distributes the requests over services by weight.
	Split      []Share
	Importance mwunit.Importance
	Repeatable bool   `json:",omitempty"`
	Length     Length `json:",omitempty"`
	// Timeout is the maximum time that a caller waits for the answer.
	Timeout Duration `json:",omitempty"`
	// Objective is the time within which an answer has its full value to the
	// caller.
	Objective Duration `json:",omitempty"`
	// Targets is the maximum number of targets that one call is sent to; if
	// it is 0, policies set the number of retries.
	Targets mwunit.Attempts `json:",omitempty"`
}

// Share is a service and its weight in a Route.
type Share struct {
	Service mwid.ServiceName
	Weight  Weight
}

// Weight is the weight of a Share relative to the other shares of its Route.
type Weight float64

// Service describes the backend servers of the service that has the name of
// the document.
type Service struct {
	// Connections is the maximum number of connections that a backend server
	// accepts from all callers together; if it is 0, the announcement sets it.
	Connections mwunit.Connections `json:",omitempty"`
	// HealthPath is the path at which a backend server reports its health.
	HealthPath string `json:",omitempty"`
}

// CallerLimits limits the size and duration of requests from callers.
type CallerLimits struct {
	HeaderBytes   mwunit.Bytes `json:",omitempty"`
	BodyBytes     mwunit.Bytes `json:",omitempty"`
	HeaderTimeout Duration     `json:",omitempty"`
	IdleTimeout   Duration     `json:",omitempty"`
}

func (r *Route) check() []problem {
	var ps []problem
	if r.Host == "" {
		ps = append(ps, badValue("Host", "the name of a host"))
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		ps = append(ps, badValue("PathPrefix", `a path that starts with "/"`))
	}
	if r.Importance < 0 || r.Importance > mwunit.MaxImportance {
		ps = append(ps, badValue("Importance", fmt.Sprintf("0 to %d", mwunit.MaxImportance)))
	}
	if r.Timeout < 0 || r.Objective < 0 {
		ps = append(ps, badValue("Timeout", "durations of at least 0s"))
	}
	if r.Targets < 0 || r.Targets > MaxRetries {
		ps = append(ps, badValue("Targets", fmt.Sprintf("0 to %d", MaxRetries)))
	}
	return append(ps, r.checkSplit()...)
}

func (r *Route) checkSplit() []problem {
	var total Weight
	for i, s := range r.Split {
		if s.Service == "" || s.Weight < 0 {
			return []problem{badValue(fmt.Sprintf("Split[%d]", i), "a service and a weight of at least 0")}
		}
		total += s.Weight
	}
	if total <= 0 {
		return []problem{badValue("Split", "at least one service with a weight above 0")}
	}
	return nil
}

func (s *Service) check() []problem {
	if s.Connections < 0 {
		return []problem{badValue("Connections", "at least 0")}
	}
	return nil
}

func (l *CallerLimits) check() []problem {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return []problem{badValue("HeaderBytes", "limits of at least 0")}
	}
	return nil
}

// namedRoute is a Route with the name of its document.
type namedRoute struct {
	Route
	name DocumentName
}

// routes holds the routes of each host, with the longest prefix first.
type routes map[string][]namedRoute

func (rs routes) add(n DocumentName, r Route) {
	rs[r.Host] = append(rs[r.Host], namedRoute{r, n})
}

// sort sorts the routes of each host by descending length of the prefix, then
// by name.
func (rs routes) sort() {
	for _, list := range rs {
		slices.SortFunc(list, func(a, b namedRoute) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.name, b.name))
		})
	}
}

// find returns the route of a request, or nil if there is none.
func (rs routes) find(host, path string) *namedRoute {
	list := rs[host]
	for i := range list {
		if strings.HasPrefix(path, list[i].PathPrefix) {
			return &list[i]
		}
	}
	return nil
}

// RouteOf returns the route of a request to host and path; ok is false if there
// is none. The caller must not modify the returned route.
func (s *Snapshot) RouteOf(host, path string) (r *Route, ok bool) {
	f := s.routes.find(host, path)
	if f == nil {
		return nil, false
	}
	return &f.Route, true
}

// Pick returns the service at point x of r's split. x must be in [0, 1); the
// services divide that range by weight.
func (r *Route) Pick(x float64) mwid.ServiceName {
	var total Weight
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := Weight(x) * total
	last := r.Split[0].Service
	for _, s := range r.Split {
		if s.Weight == 0 {
			continue
		}
		last = s.Service
		if remaining < s.Weight {
			break
		}
		remaining -= s.Weight
	}
	return last
}

// ServiceOf returns the description of service n, which is empty for a service
// without a document.
func (s *Snapshot) ServiceOf(n mwid.ServiceName) Service { return s.services[n] }

// CallerLimits returns the limits for callers; 0 means that a limit is not
// configured.
func (s *Snapshot) CallerLimits() CallerLimits { return s.limits }

// apply sets the fields of v that r defines. Policies are applied afterwards
// and override them.
func (r *namedRoute) apply(v *Verdict) {
	v.Route, v.Importance, v.Repeatable = r.name, r.Importance, r.Repeatable
	v.Length = cmp.Or(r.Length, v.Length)
	v.Timeout, v.Objective = time.Duration(r.Timeout), time.Duration(r.Objective)
	if r.Timeout > 0 {
		v.Deadline = v.Timeout
	}
	if r.Targets > 0 {
		v.Retries, v.MaxTargets = r.Targets-1, r.Targets
	}
}
