// Package mwunit defines types for the units of the system's quantities.
// Durations use time.Duration.
package mwunit

// Slots counts calls that a backend server can work on at the same time.
type Slots int

// Connections counts open connections of a backend server.
type Connections int

// Descriptors counts open file descriptors of a process.
type Descriptors int

// Bytes counts bytes.
type Bytes int64

// MB is 1 MiB.
const MB Bytes = 1 << 20

// Attempts counts attempts beyond the first: retries and hedges.
type Attempts int

// Ratio is a fraction; 1 is the whole.
type Ratio float64

// PerSecond is a rate in events per second.
type PerSecond float64

// Importance ranks calls from 0 (shed first) to MaxImportance (shed last).
type Importance int

// MaxImportance is the greatest Importance.
const MaxImportance Importance = 100

// Depth counts hops from the root call, which has depth 0.
type Depth int

// MaxDepth is the maximum Depth that a node accepts; a deeper call is assumed
// to be in a loop.
const MaxDepth Depth = 64

// Nodes counts nodes.
type Nodes int
