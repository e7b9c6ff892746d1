package mwversion

import (
	"context"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// Source delivers configurations that operators write elsewhere than in the
// table of package mwoperator.
type Source interface {
	// Follow offers each configuration that it finds to t until ctx is done.
	Follow(ctx context.Context, t Taker)
}

// Taker accepts configurations from a Source. Fanout implements it.
type Taker interface {
	// Take puts w in force if it is newer than the configuration in force. It
	// returns nil if w or a newer configuration is in force afterwards.
	Take(w mwconfig.Whole) error
	// Version returns the version in force, or 0 if there is none.
	Version() mwid.Version
	// OnDuty reports whether this node is one of the nodes of its availability
	// zone that follow the source; the others learn of versions from them.
	OnDuty() bool
}

// Sources is the extension point for sources.
var Sources = mwregistry.New[mwkernel.Env, Source]("configuration source")

// TableName names the source that reads what package mwoperator writes.
const TableName mwregistry.Name = "table"

func init() {
	Sources.Register(TableName, func(mwkernel.Env) (Source, mwregistry.Cleanup, error) { return nil, nil, nil })
}

// Take implements Taker.
func (f *Fanout) Take(w mwconfig.Whole) error {
	if w.Version <= f.version() {
		return nil
	}
	return f.installWhole(fromStore, w)
}

// Version implements Taker.
func (f *Fanout) Version() mwid.Version { return f.version() }

// OnDuty implements Taker. A node that has no configuration always follows the
// source itself.
func (f *Fanout) OnDuty() bool { return f.version() == 0 || f.isPoller() }
