package mwkernel

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwstore"
)

// Env is what a plug-in's factory gets. Store, Membership and Configuration
// are made in this order, before all others; each factory finds those that
// were made before it and nil in place of the rest.
type Env struct {
	Node          mwid.NodeID
	Boot          mwid.BootID
	Settings      *mwsetting.Node
	Log           *slog.Logger
	Metrics       *metrics.Set
	Peers         Peers
	Store         mwstore.Store
	Membership    Membership
	Configuration Configuration
}
