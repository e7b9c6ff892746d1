// Package mwadmin provides the admin interface of a node: the handler of the
// admin listener, and a client with which operators inspect the node and drain
// it. Bodies are JSON, except those of the metrics and profiles. An error
// response holds a mwcode.Report, except that of the readiness check, which
// holds a Health.
package mwadmin

import (
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// Paths of the admin interface.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	StatusPath  = "/mw/status"
	TargetsPath = "/mw/targets"
	ExplainPath = "/mw/explain"
	DrainPath   = "/mw/drain"
)

// Status is what a node knows about itself and about the availability zones.
type Status struct {
	Node       mwid.NodeID
	Zone       mwid.ZoneName
	Region     mwid.RegionName
	Configured bool
	Version    mwid.Version
	Draining   bool
	Services   []ServiceStatus
	Zones      []mwkernel.ZoneStatus
}

// ServiceStatus is the state of one service at a node.
type ServiceStatus struct {
	Service mwid.ServiceName
	Address mwid.Address
	Leaving bool
	Load    mwkernel.Load
}

// Health is the state of a node, with the Reasons if OK is false.
type Health struct {
	OK      bool
	Reasons []string `json:",omitempty"`
}

// ExplainRequest describes a call whose treatment at a node is to be explained.
type ExplainRequest struct {
	Caller  mwid.CallerName
	Service mwid.ServiceName
	Method  string
	Path    string
	// Host selects the route if no Service is named.
	Host string `json:",omitempty"`
}

// Explanation describes how a node would treat a call, and why.
type Explanation struct {
	Version       mwid.Version
	Service       mwid.ServiceName
	CallerLabels  mwlabel.Set
	RequestLabels mwlabel.Set
	Verdict       mwconfig.Verdict
	Priority      mwcall.Priority
	Targets       []mwcall.Target
	// Load is the load of the service at this node; nil if the service is not
	// announced here.
	Load     *mwkernel.Load `json:",omitempty"`
	Admitted bool
	// Code is the code of the refusal, or mwcode.OK.
	Code   mwcode.Code
	Reason string
	// Share is the maximum number of the target's slots that calls to the
	// retired interface may use; 0 if the call is not one of them.
	Share mwunit.Slots `json:",omitempty"`
}
