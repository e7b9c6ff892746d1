package mwclaim

import (
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// PluginName is the name of the ledger in the settings.
const PluginName mwregistry.Name = "table"

func init() { mwkernel.Ledgers.Register(PluginName, newPlugin) }

func newPlugin(env mwkernel.Env) (mwkernel.Ledger, mwregistry.Cleanup, error) {
	settings := env.Settings.Claim
	opts := []Option{
		WithNode(env.Node),
		WithLog(env.Log),
		WithMetrics(env.Metrics),
		WithPanics(env.Panics),
		WithRunFirst(settings.RunFirst),
		WithWindow(settings.Window),
		WithTimeout(env.Settings.Store.Timeout),
		WithBatch(settings.Batch),
		WithLanes(settings.Lanes),
		WithInline(settings.Inline),
	}
	if env.Peers != nil && env.Membership != nil && env.Store != nil {
		opts = append(opts, WithGroup(env.Peers, env.Settings.Listen.PeerAddress(), zonePeers(env), settings.Writers))
	}
	l, stop, err := New(env.Store, opts...)
	return l, stop, err
}

// zonePeers returns a function that returns up to n random peers, those of this
// availability zone first. n is the number of other nodes in this zone, without
// those listed in ZoneStatus.Unheard.
func zonePeers(env mwkernel.Env) func() []mwid.Address {
	return func() []mwid.Address {
		for _, z := range env.Membership.Zones() {
			if z.Zone == env.Settings.Place.Zone {
				return env.Membership.Peers(max(0, z.Nodes-len(z.Unheard)-1))
			}
		}
		return nil
	}
}
