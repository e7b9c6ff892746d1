package mwversion

import (
	"context"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// Source brings configurations from where operators write them, where that is
// not the table of package mwoperator.
type Source interface {
	// Follow offers each configuration that it finds to t until ctx is done.
	Follow(ctx context.Context, t Taker)
}

// Taker takes configurations; Fanout is one.
type Taker interface {
	// Take puts w in force where it is newer than what is. It returns nil
	// where w or a newer one is in force after it.
	Take(w mwconfig.Whole) error
	// Version returns the version in force, 0 for none.
	Version() mwid.Version
	// OnDuty tells whether this node is one of those of its availability zone
	// that follow the source; the others hear of versions from them.
	OnDuty() bool
}

// Sources is the extension point for sources.
var Sources = mwregistry.New[mwkernel.Env, Source]("configuration source")

// TableName is the source that reads what package mwoperator writes.
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

// OnDuty implements Taker. A node without a configuration follows the source
// itself.
func (f *Fanout) OnDuty() bool { return f.version() == 0 || f.onDuty() }
