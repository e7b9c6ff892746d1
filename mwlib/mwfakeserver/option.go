package mwfakeserver

import (
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwunit"
)

// Option changes how a Backend or a Server is made.
type Option = mwoption.Option[settings]

// WithSeed sets the seed of all that is random.
func WithSeed(s Seed) Option { return func(o *settings) { o.seed = s } }

// WithSlots sets how many calls run and how many may wait.
func WithSlots(slots, queue mwunit.Slots) Option {
	return func(o *settings) { o.slots, o.queue = slots, queue }
}

// WithConnections sets how many connections are announced.
func WithConnections(n mwunit.Connections) Option { return func(o *settings) { o.connections = n } }

// WithClasses sets the classes of work.
func WithClasses(cs ...Class) Option { return func(o *settings) { o.classes = cs } }

// WithPlainRefusals makes refusals a 503 that does not say whether the call
// ran.
func WithPlainRefusals() Option { return func(o *settings) { o.plain = true } }

// WithSpells lets slow spells come and go.
func WithSpells(s Spells) Option { return func(o *settings) { o.spells = s } }

// WithColdStart makes work take factor times as long at the start, and less
// and less until d is over.
func WithColdStart(d time.Duration, factor mwunit.Ratio) Option {
	return func(o *settings) { o.cold, o.coldFactor = d, factor }
}

// WithReporting sets how the load report misleads.
func WithReporting(r Reporting) Option { return func(o *settings) { o.reporting = r } }

// WithRecord sets the record to write to.
func WithRecord(r *Record) Option { return func(o *settings) { o.record = r } }

// WithLabels sets the labels that are announced.
func WithLabels(ls mwlabel.Set) Option { return func(o *settings) { o.announced.Labels = ls } }

// WithTTL sets how long an announcement holds without renewal.
func WithTTL(d time.Duration) Option { return func(o *settings) { o.ttl = d } }

// WithListen sets the loopback address to listen on, IP:port; port 0 picks a
// free one.
func WithListen(a mwid.Address) Option { return func(o *settings) { o.listen = a } }

// WithNode sets the local listener of the node, for a Backend without a
// Server.
func WithNode(a mwid.Address) Option { return func(o *settings) { o.node = a } }

// WithStatedRefusals makes refusals state that the call did not run; this is
// what a Backend does by itself.
func WithStatedRefusals() Option { return func(o *settings) { o.plain = false } }
