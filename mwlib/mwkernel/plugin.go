package mwkernel

import "mustardwheel.example/mwlib/mwregistry"

// makePlugins creates the plug-ins that the settings name, in the order that
// Env documents.
func (k *Kernel) makePlugins(env Env, e *cleanups) error {
	use := env.Settings.Plugins
	if env.Store == nil && env.Settings.Store.Address != "" {
		if err := makePlugin(Stores, use.Store, env, &env.Store, e); err != nil {
			return err
		}
	}
	k.store = env.Store
	if err := makePlugin(Memberships, use.Membership, env, &env.Membership, e); err != nil {
		return err
	}
	k.member = env.Membership
	if err := makePlugin(Configurations, use.Configuration, env, &env.Configuration, e); err != nil {
		return err
	}
	k.config = env.Configuration
	return k.makeDecisionPlugins(env, e)
}

func (k *Kernel) makeDecisionPlugins(env Env, e *cleanups) error {
	use := env.Settings.Plugins
	if err := makePlugin(Classifiers, use.Classifier, env, &k.class, e); err != nil {
		return err
	}
	if err := makePlugin(Admissions, use.Admission, env, &k.admit, e); err != nil {
		return err
	}
	if err := makePlugin(Routers, use.Router, env, &k.router, e); err != nil {
		return err
	}
	if err := makePlugin(RetryPolicies, use.Retry, env, &k.retry, e); err != nil {
		return err
	}
	return makePlugin(Ledgers, use.Ledger, env, &k.ledger, e)
}

// makePlugin creates plug-in n of r, stores it in *to and adds its clean-up to
// e.
func makePlugin[T any](r *mwregistry.Registry[Env, T], n mwregistry.Name, env Env, to *T, e *cleanups) error {
	v, cleanup, err := r.Make(n, env)
	if err != nil {
		return err
	}
	*to = v
	e.add(cleanup)
	return nil
}
