package mwmember

import (
	"errors"

	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// Name is the name under which the plug-in is registered.
const Name mwregistry.Name = "gossip"

var errNoPeers = errors.New("mwmember: gossip requires a transport to peers, but none is configured")

func init() { mwkernel.Memberships.Register(Name, fromEnv) }

// fromEnv returns a Gossip with the settings of env.
func fromEnv(env mwkernel.Env) (mwkernel.Membership, mwregistry.Cleanup, error) {
	if env.Peers == nil {
		return nil, nil, errNoPeers
	}
	set := env.Settings
	opts := []Option{
		WithPlace(set.Place.Zone, set.Place.Region),
		WithJoin(set.Member.Join...),
		WithSpread(set.Member.Spread),
		WithLog(env.Log),
		WithMetrics(env.Metrics),
		WithPanics(env.Panics),
	}
	if set.Member.Period > 0 {
		opts = append(opts, WithPeriod(set.Member.Period))
	}
	if set.Member.Rate > 0 {
		opts = append(opts, WithRate(set.Member.Rate))
	}
	if env.Store != nil {
		opts = append(opts, WithTable(env.Store))
	}
	g, stop, err := New(env.Node, NewTransport(env.Peers, env.Panics), opts...)
	if err != nil {
		return nil, nil, err
	}
	return g, stop, nil
}
