package mwclaim

import (
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// PluginName is the name of the ledger in the settings.
const PluginName mwregistry.Name = "table"

func init() { mwkernel.Ledgers.Register(PluginName, newPlugin) }

func newPlugin(env mwkernel.Env) (mwkernel.Ledger, mwregistry.Cleanup, error) {
	set := env.Settings.Claim
	l, end := New(env.Store,
		WithNode(env.Node),
		WithLog(env.Log),
		WithMetrics(env.Metrics),
		WithRunFirst(set.RunFirst),
		WithWindow(set.Window),
		WithTimeout(env.Settings.Store.Timeout),
		WithBatch(set.Batch),
		WithLanes(set.Lanes),
		WithInline(set.Inline),
	)
	return l, end, nil
}
