package mwkernel

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwpanic"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwstore"
)

// Env is the environment passed to a plug-in's factory. Store, Membership and
// Configuration are created in this order, before all other plug-ins. A
// factory finds those that were created before it; the others are nil.
type Env struct {
	Node          mwid.NodeID
	Boot          mwid.BootID
	Settings      *mwsetting.Node
	Log           *slog.Logger
	Metrics       *metrics.Set
	Panics        *mwpanic.Recorder
	Peers         Peers
	Store         mwstore.Store
	Membership    Membership
	Configuration Configuration
}
