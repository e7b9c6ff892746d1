package mwversion

import (
	"cmp"
	"errors"

	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// Name is the name under which the plug-in is registered.
const Name mwregistry.Name = "fanout"

var errMissingDependency = errors.New("mwversion: fanout needs a membership and a peer transport")

func init() { mwkernel.Configurations.Register(Name, fromEnv) }

// fromEnv returns a Fanout made from the settings.
func fromEnv(env mwkernel.Env) (mwkernel.Configuration, mwregistry.Cleanup, error) {
	if env.Membership == nil || env.Peers == nil {
		return nil, nil, errMissingDependency
	}
	src, stopSource, err := Sources.Make(cmp.Or(env.Settings.Plugins.Source, TableName), env)
	if err != nil {
		return nil, nil, err
	}
	opts := []Option{WithLog(env.Log), WithMetrics(env.Metrics), WithPanics(env.Panics), WithSource(src)}
	if env.Store != nil {
		opts = append(opts, WithStore(env.Store))
	}
	f, stop, err := New(env.Membership, env.Peers, opts...)
	if err != nil {
		return nil, nil, err
	}
	return f, func() {
		stop()
		if stopSource != nil {
			stopSource()
		}
	}, nil
}
