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
	// FollowsSource reports whether this node should follow the source now. A few
	// nodes of each availability zone do; the others fetch new versions from their
	// peers. No node does soon after its start, before it knows its peers.
	FollowsSource() bool
	// LeadsSource reports whether this node is the first of the nodes of its
	// availability zone that follow the source. It alone has to notice soon that the
	// source has stopped to respond, since the others learn of a change from it.
	LeadsSource() bool
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
	if w.Version <= f.version() {
		return nil
	}
	return f.installWhole(fromStore, w)
}

// Version implements Installer.
func (f *Fanout) Version() mwid.Version { return f.version() }

// FollowsSource implements Installer.
func (f *Fanout) FollowsSource() bool { return time.Since(f.started) >= followDelay && f.isPoller() }

// LeadsSource implements Installer.
func (f *Fanout) LeadsSource() bool { return f.pollRank() == 0 }

// followDelay is the time after its start at which a node may begin to follow the
// source. Until then it may take itself for the only node of its zone.
const followDelay = 2 * time.Second
