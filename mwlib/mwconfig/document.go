// Package mwconfig defines the configuration that operators write: the kinds
// of documents, how they are decoded and checked, and the Snapshot that they
// are compiled to. It also defines the keys and rows under which the
// configuration is stored.
package mwconfig

import (
	"encoding/json"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// Kind is the kind of a document.
type Kind string

// Kinds of documents.
const (
	// KindCallerLabel gives labels to callers.
	KindCallerLabel Kind = "CallerLabel"
	// KindRequestLabel gives labels to requests.
	KindRequestLabel Kind = "RequestLabel"
	// KindServerLabel gives labels to backend servers.
	KindServerLabel Kind = "ServerLabel"
	// KindSelector groups callers, requests or backend servers.
	KindSelector Kind = "Selector"
	// KindPolicy sets how selected calls are treated.
	KindPolicy Kind = "Policy"
	// KindRoute sends requests to services.
	KindRoute Kind = "Route"
	// KindService describes the backend servers of a service.
	KindService Kind = "Service"
	// KindCallerLimits limits the size and duration of requests from callers.
	KindCallerLimits Kind = "CallerLimits"
)

// Kinds returns every Kind.
func Kinds() []Kind {
	return []Kind{
		KindCallerLabel, KindRequestLabel, KindServerLabel, KindSelector, KindPolicy,
		KindRoute, KindService, KindCallerLimits,
	}
}

// DocumentName is the name of a document, unique within its Kind.
type DocumentName string

// Document is one object of the configuration as operators write it. Spec
// holds the JSON of the struct type that has the name of Kind.
type Document struct {
	Kind Kind
	Name DocumentName
	Spec json.RawMessage
}

// CallerLabel gives Labels to the named Callers.
type CallerLabel struct {
	Callers []mwid.CallerName
	Labels  mwlabel.Set
}

// RequestLabel gives Labels to the requests that meet all given conditions. An
// empty condition matches every request.
type RequestLabel struct {
	Service    mwid.ServiceName `json:",omitempty"`
	Method     string           `json:",omitempty"`
	PathPrefix string           `json:",omitempty"`
	Labels     mwlabel.Set
}

// ServerLabel gives Labels to the backend servers that meet all given
// conditions. An empty condition matches every backend server.
type ServerLabel struct {
	Service mwid.ServiceName `json:",omitempty"`
	Zone    mwid.ZoneName    `json:",omitempty"`
	Address mwid.Address     `json:",omitempty"`
	Labels  mwlabel.Set
}

// Subject is the kind of object that a selector groups.
type Subject string

// Subjects of selectors.
const (
	OnCaller  Subject = "Caller"
	OnRequest Subject = "Request"
	OnServer  Subject = "Server"
)

// Selector groups the objects that match all Terms, all selectors of All, at
// least one of Any (if it is not empty) and none of None.
type Selector struct {
	On    Subject
	Terms mwlabel.Selector `json:",omitempty"`
	All   []DocumentName   `json:",omitempty"`
	Any   []DocumentName   `json:",omitempty"`
	None  []DocumentName   `json:",omitempty"`
}

// Length is the length class of a call.
type Length string

// Length classes.
const (
	LengthUnset Length = ""
	Short       Length = "Short"
	Medium      Length = "Medium"
	Long        Length = "Long"
)

// Retired marks the selected calls as calls to the retired interface. While
// there are such calls, each target serves at least Floor of them concurrently
// and never more than Ceiling.
type Retired struct {
	Floor   mwunit.Slots
	Ceiling mwunit.Slots
}

// Policy sets the treatment of calls whose caller, request and backend server
// match the named selectors; an empty selector name matches all. If several
// policies apply, each field is taken from the policy with the highest Rank
// that sets it; among equal ranks, from the first by name.
type Policy struct {
	Rank       int                `json:",omitempty"`
	Callers    DocumentName       `json:",omitempty"`
	Requests   DocumentName       `json:",omitempty"`
	Servers    DocumentName       `json:",omitempty"`
	Importance *mwunit.Importance `json:",omitempty"`
	Repeatable *bool              `json:",omitempty"`
	Length     Length             `json:",omitempty"`
	Retired    *Retired           `json:",omitempty"`
	// Retries is the retry budget of a root call, shared by its whole call
	// chain.
	Retries *mwunit.Attempts `json:",omitempty"`
	// Deadline is the time limit of a root call that has none of its own.
	Deadline Duration `json:",omitempty"`
	// CallerRatio is the maximum fraction of a caller's calls that may be
	// resubmissions.
	CallerRatio *mwunit.Ratio `json:",omitempty"`
}

// Duration is a time.Duration that is written in documents as a string such as
// "1.5s".
type Duration time.Duration

// MarshalText formats d like time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a string that time.ParseDuration accepts.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}
