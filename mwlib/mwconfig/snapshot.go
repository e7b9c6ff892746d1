package mwconfig

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// Snapshot is the compiled configuration of one version. It is immutable, so a
// call uses one Snapshot from start to end, and any number of calls read it
// without a lock. Compile resolves the references between selectors in advance,
// because a call has only microseconds, while a configuration change may take
// seconds.
type Snapshot struct {
	version  mwid.Version
	docs     []Document
	callers  map[mwid.CallerName]mwlabel.Set
	requests []RequestLabel
	servers  []ServerLabel
	policies []policy
	routes   routes
	services map[mwid.ServiceName]Service
	limits   CallerLimits
}

// policy is a Policy with its selectors resolved.
type policy struct {
	Policy
	name     DocumentName
	callers  matcher
	requests matcher
	servers  matcher
}

// Request holds the properties of a request that selectors and routes match.
type Request struct {
	Caller  mwid.CallerName
	Service mwid.ServiceName
	Method  string
	Path    string
	// Host selects the Route; a request without a Host has none.
	Host string
}

// Server holds the properties of a backend server that selectors match.
type Server struct {
	Service mwid.ServiceName
	Zone    mwid.ZoneName
	Address mwid.Address
	Labels  mwlabel.Set
}

// Verdict is the configuration that applies to one call.
type Verdict struct {
	Importance  mwunit.Importance
	Repeatable  bool
	Length      Length
	Retired     DocumentName // policy that marks the call as one to the retired interface; empty if none does
	Floor       mwunit.Slots
	Ceiling     mwunit.Slots
	Retries     mwunit.Attempts
	Deadline    time.Duration
	CallerRatio mwunit.Ratio
	Route       DocumentName // empty if no route matches
	// Timeout is the maximum time that the caller waits; 0 sets no limit
	// besides the call's deadline.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value to the
	// caller; 0 if it is not configured.
	Objective time.Duration
	// MaxTargets is the maximum number of targets that the call is sent to; if
	// it is 0, Retries sets the limit.
	MaxTargets mwunit.Attempts
	Matched    []DocumentName // policies that apply, highest rank first
}

// Defaults for a call that no policy covers. Calls are not repeatable unless an
// operator configures them so.
const (
	DefaultImportance  mwunit.Importance = 50
	DefaultRetries     mwunit.Attempts   = 1
	DefaultDeadline                      = 10 * time.Second
	DefaultCallerRatio mwunit.Ratio      = 0.2
)

// Compile checks docs, individually and against each other, and returns their
// Snapshot at version v.
func Compile(v mwid.Version, docs []Document) (*Snapshot, error) {
	s := &Snapshot{
		version: v, docs: slices.Clone(docs), callers: make(map[mwid.CallerName]mwlabel.Set),
		routes: make(routes), services: make(map[mwid.ServiceName]Service),
	}
	slices.SortFunc(s.docs, compareDocuments)
	specs, err := decodeAll(s.docs)
	if err != nil {
		return nil, err
	}
	res := newResolver(s.docs, specs)
	var errs []error
	for i, d := range s.docs {
		errs = append(errs, s.add(d, specs[i], res))
	}
	s.routes.sort()
	slices.SortStableFunc(s.policies, func(a, b policy) int { return b.Rank - a.Rank })
	return s, errors.Join(errs...)
}

func compareDocuments(a, b Document) int {
	if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return strings.Compare(string(a.Name), string(b.Name))
}

func decodeAll(docs []Document) ([]spec, error) {
	specs := make([]spec, len(docs))
	var errs []error
	for i, d := range docs {
		s, err := d.decodeSpec("")
		specs[i] = s
		errs = append(errs, err)
		if i > 0 && compareDocuments(docs[i-1], d) == 0 {
			errs = append(errs, mwcode.New(mwcode.DuplicateName, mwcode.Field(d.path("")),
				mwcode.Expected("one document of each kind and name")))
		}
	}
	return specs, errors.Join(errs...)
}

// add adds the document d, whose decoded spec is sp, to s.
func (s *Snapshot) add(d Document, sp spec, res *resolver) error {
	switch t := sp.(type) {
	case *CallerLabel:
		for _, c := range t.Callers {
			s.callers[c] = s.callers[c].Merge(t.Labels)
		}
	case *RequestLabel:
		s.requests = append(s.requests, *t)
	case *ServerLabel:
		s.servers = append(s.servers, *t)
	case *Selector:
		_, err := res.resolve(d, "", d.Name, t.On)
		return err
	case *Policy:
		return s.addPolicy(d, t, res)
	case *Route:
		s.routes.add(d.Name, *t)
	case *Service:
		s.services[mwid.ServiceName(d.Name)] = *t
	case *CallerLimits:
		s.limits = *t
	}
	return nil
}

func (s *Snapshot) addPolicy(d Document, t *Policy, res *resolver) error {
	p := policy{Policy: *t, name: d.Name}
	var errs [3]error
	p.callers, errs[0] = res.resolve(d, "Callers", t.Callers, OnCaller)
	p.requests, errs[1] = res.resolve(d, "Requests", t.Requests, OnRequest)
	p.servers, errs[2] = res.resolve(d, "Servers", t.Servers, OnServer)
	s.policies = append(s.policies, p)
	return errors.Join(errs[:]...)
}

func (s *Snapshot) Version() mwid.Version { return s.version }

// Documents returns the documents of s ordered by kind and name; the caller
// must not change them.
func (s *Snapshot) Documents() []Document { return s.docs }

// RequestLabels returns the labels of r.
func (s *Snapshot) RequestLabels(r Request) mwlabel.Set {
	var ls mwlabel.Set
	for i := range s.requests {
		if t := &s.requests[i]; t.matches(r) {
			ls = ls.Merge(t.Labels)
		}
	}
	return ls
}

func (t *RequestLabel) matches(r Request) bool {
	return (t.Service == "" || t.Service == r.Service) &&
		(t.Method == "" || t.Method == r.Method) &&
		strings.HasPrefix(r.Path, t.PathPrefix)
}

// CallerLabels returns the labels of c.
func (s *Snapshot) CallerLabels(c mwid.CallerName) mwlabel.Set { return s.callers[c] }

// ServerLabels returns the labels that v announced, merged with those that
// operators gave it. The latter take precedence.
func (s *Snapshot) ServerLabels(v Server) mwlabel.Set {
	ls := v.Labels
	for i := range s.servers {
		if t := &s.servers[i]; t.matches(v) {
			ls = ls.Merge(t.Labels)
		}
	}
	return ls
}

func (t *ServerLabel) matches(v Server) bool {
	return (t.Service == "" || t.Service == v.Service) &&
		(t.Zone == "" || t.Zone == v.Zone) &&
		(t.Address == "" || t.Address == v.Address)
}

// Evaluate returns the configuration that applies to request r at backend server
// v.
func (s *Snapshot) Evaluate(r Request, v Server) Verdict {
	cl, rl, sl := s.CallerLabels(r.Caller), s.RequestLabels(r), s.ServerLabels(v)
	b := verdictBuilder{Verdict: Verdict{
		Importance: DefaultImportance, Length: Short, Retries: DefaultRetries,
		Deadline: DefaultDeadline, CallerRatio: DefaultCallerRatio,
	}}
	if rt := s.routes.find(r.Host, r.Path); rt != nil {
		rt.apply(&b.Verdict)
	}
	for i := range s.policies {
		p := &s.policies[i]
		if p.callers.matches(cl) && p.requests.matches(rl) && p.servers.matches(sl) {
			b.apply(p)
		}
	}
	return b.Verdict
}

// verdictBuilder is a Verdict under construction; its flags mark the fields
// that a policy has set.
type verdictBuilder struct {
	Verdict
	importance, repeatable, length, retired, retries, deadline, ratio bool
}

// setOnce sets *dst to *src, and *done to true, if src is not nil and *done is
// still false.
func setOnce[T any](dst *T, done *bool, src *T) {
	if src == nil || *done {
		return
	}
	*dst = *src
	*done = true
}

func (b *verdictBuilder) apply(p *policy) {
	b.Matched = append(b.Matched, p.name)
	setOnce(&b.Importance, &b.importance, p.Importance)
	setOnce(&b.Repeatable, &b.repeatable, p.Repeatable)
	setOnce(&b.Retries, &b.retries, p.Retries)
	setOnce(&b.CallerRatio, &b.ratio, p.CallerRatio)
	if p.Length != LengthUnset {
		setOnce(&b.Length, &b.length, &p.Length)
	}
	if p.Deadline > 0 {
		d := time.Duration(p.Deadline)
		setOnce(&b.Deadline, &b.deadline, &d)
	}
	if p.Retired != nil && !b.retired {
		b.retired = true
		b.Retired, b.Floor, b.Ceiling = p.name, p.Retired.Floor, p.Retired.Ceiling
	}
}

// String returns a short description of s for logs.
func (s *Snapshot) String() string {
	return fmt.Sprintf("version %d, %d documents", s.version, len(s.docs))
}
