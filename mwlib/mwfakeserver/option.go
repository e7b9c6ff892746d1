package mwfakeserver

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwunit"
)

// Option configures NewBackend and New.
type Option = mwoption.Option[settings]

// WithSeed sets the seed of all random choices.
func WithSeed(s Seed) Option { return func(o *settings) { o.seed = s } }

// WithSlots sets the maximum numbers of calls that run and of calls that wait.
func WithSlots(slots, queue mwunit.Slots) Option {
	return func(o *settings) { o.slots, o.queue = slots, queue }
}

// WithConnections sets the announced number of connections.
func WithConnections(n mwunit.Connections) Option { return func(o *settings) { o.connections = n } }

// WithClasses sets the classes of work.
func WithClasses(cs ...Class) Option { return func(o *settings) { o.classes = cs } }

// WithoutNotRunHeader makes the Backend refuse calls with a 503 that does not
// state whether the call ran.
func WithoutNotRunHeader() Option { return func(o *settings) { o.omitNotRunHeader = true } }

// WithSlowPeriods adds slow periods.
func WithSlowPeriods(s SlowPeriods) Option { return func(o *settings) { o.slowPeriods = s } }

// WithColdStart makes work take factor times as long at the start. The factor
// decreases linearly to 1 over d.
func WithColdStart(d time.Duration, factor mwunit.Ratio) Option {
	return func(o *settings) { o.coldTime, o.coldFactor = d, factor }
}

// WithReporting sets how the load report deviates from the load.
func WithReporting(r Reporting) Option { return func(o *settings) { o.reporting = r } }

// WithRecord sets the record to write to.
func WithRecord(r *Record) Option { return func(o *settings) { o.record = r } }

// WithLabels sets the announced labels.
func WithLabels(ls mwlabel.Set) Option { return func(o *settings) { o.announced.Labels = ls } }

// WithTTL sets how long an announcement is valid without renewal.
func WithTTL(d time.Duration) Option { return func(o *settings) { o.ttl = d } }

// WithListen sets the loopback address to listen on, as IP:port. Port 0 picks a
// free port.
func WithListen(a mwid.Address) Option { return func(o *settings) { o.listen = a } }

// WithNode sets the address of the node's local listener, for a Backend without
// a Server.
func WithNode(a mwid.Address) Option { return func(o *settings) { o.node = a } }

// WithNotRunHeader makes refusals state that the call did not run. This is
// the default.
func WithNotRunHeader() Option { return func(o *settings) { o.omitNotRunHeader = false } }
