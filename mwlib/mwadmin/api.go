// Package mwadmin is how operators look at one node and tell it to drain: a
// handler for the admin listener and a client for it. All bodies are JSON; that
// of an answer which is not a success is a mwcode.Report.
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

// Paths of the admin listener.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	StatusPath  = "/mw/status"
	TargetsPath = "/mw/targets"
	ExplainPath = "/mw/explain"
	DrainPath   = "/mw/drain"
)

// Status is what a node knows of itself and of the availability zones.
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

// Health is the state of a node with the reasons where it is not good.
type Health struct {
	OK      bool
	Reasons []string `json:",omitempty"`
}

// Question asks how a node would treat a call.
type Question struct {
	Caller  mwid.CallerName
	Service mwid.ServiceName
	Method  string
	Path    string
	// Host finds the route where no Service is named.
	Host string `json:",omitempty"`
}

// Explanation tells how a node would treat a call, and why.
type Explanation struct {
	Version       mwid.Version
	Service       mwid.ServiceName
	CallerLabels  mwlabel.Set
	RequestLabels mwlabel.Set
	Verdict       mwconfig.Verdict
	Priority      mwcall.Priority
	Targets       []mwcall.Target
	// Load is that of this node, where the service is announced here.
	Load     *mwkernel.Load `json:",omitempty"`
	Admitted bool
	// Code is the code of the refusal, or mwcode.OK.
	Code   mwcode.Code
	Reason string
	// Share is the part of the target's slots that calls of the retired
	// interface may use; 0 where the call is not one.
	Share mwunit.Slots `json:",omitempty"`
}
