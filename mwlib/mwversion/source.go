package mwversion

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// Source delivers configurations that operators maintain outside the table that
// package mwoperator writes.
type Source interface {
	// Follow offers each configuration that it finds to t until ctx is done.
	Follow(ctx context.Context, t Installer)
}

// Installer accepts configurations from a Source. Fanout implements it.
type Installer interface {
	// Install puts w in force if it is newer than the configuration in force. It
	// returns nil if w or a newer configuration is in force afterwards.
	Install(w mwconfig.Whole) error
	// Version returns the version in force, or 0 if there is none.
	Version() mwid.Version
	// Duty returns the duty of this node now. No node follows a Source soon after its
	// start, before it knows its peers.
	Duty() Duty
	// Confirm tells other nodes that this node, with duty d, knows of each change of
	// the source until the given time. A later call replaces that time, also by an
	// earlier one.
	Confirm(d Duty, until time.Time)
}

// Sources is the extension point for sources.
var Sources = mwregistry.New[mwkernel.Env, Source]("configuration source")

// TableName names the default plug-in. It returns no Source, so that the Fanout
// polls the table that package mwoperator writes.
const TableName mwregistry.Name = "table"

func init() {
	Sources.Register(TableName, func(mwkernel.Env) (Source, mwregistry.Cleanup, error) { return nil, nil, nil })
}

// Install implements Installer.
func (f *Fanout) Install(w mwconfig.Whole) error {
	switch current := f.version(); {
	case w.Version < current:
		f.noteStale(fromStore, w.Version, current)
		return nil
	case w.Version == current:
		return nil
	}
	return f.installWhole(fromStore, w)
}

// Version implements Installer.
func (f *Fanout) Version() mwid.Version { return f.version() }
