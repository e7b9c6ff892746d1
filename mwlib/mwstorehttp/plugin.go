package mwstorehttp

import (
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwstoreclient"
)

// PluginName is the name of the client in the settings.
const PluginName mwregistry.Name = "http"

func init() { mwkernel.Stores.Register(PluginName, newPlugin) }

func newPlugin(env mwkernel.Env) (mwstore.Store, mwregistry.Cleanup, error) {
	set := env.Settings.Store
	c, endClient := NewClient(set.Address, WithTimeout(set.Timeout))
	s, end := mwstoreclient.New(c,
		mwstoreclient.WithTimeout(set.Timeout),
		mwstoreclient.WithReads(set.Reads),
		mwstoreclient.WithWrites(set.Writes),
		mwstoreclient.WithMetrics(env.Metrics),
	)
	return s, func() { end(); endClient() }, nil
}
