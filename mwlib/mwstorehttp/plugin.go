package mwstorehttp

import (
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwstore"
)

// PluginName is the name of the client in the settings.
const PluginName mwregistry.Name = "http"

func init() { mwkernel.Stores.Register(PluginName, newPlugin) }

func newPlugin(env mwkernel.Env) (mwstore.Store, mwregistry.Cleanup, error) {
	c, end := NewClient(env.Settings.Store.Address, WithTimeout(env.Settings.Store.Timeout))
	return c, end, nil
}
