// Package mwclass implements the classifiers: they determine the importance,
// length, route and priority of a call from the configuration and, for History,
// from the measured times of earlier calls of the same kind.
package mwclass

import (
	"strings"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// Names of the plug-ins.
const (
	// HistoryName selects History.
	HistoryName mwregistry.Name = "history"
	// LabelsName selects Labels.
	LabelsName mwregistry.Name = "labels"
)

func init() {
	mwkernel.Classifiers.Register(HistoryName, func(env mwkernel.Env) (mwkernel.Classifier, mwregistry.Cleanup, error) {
		n := env.Metrics.GetOrCreateCounter("mw_class_corrected_total")
		set := env.Settings.Admit
		return NewHistory(WithBounds(set.MediumAfter, set.LongAfter), WithCounter(n)), func() {}, nil
	})
	mwkernel.Classifiers.Register(LabelsName, func(mwkernel.Env) (mwkernel.Classifier, mwregistry.Cleanup, error) {
		return Labels{}, func() {}, nil
	})
}

// Labels classifies by the configuration alone.
type Labels struct{}

// Classify fills c.Class from s. A call below a root call inherits the
// importance of the root, so that a request is served or shed as a whole.
func (Labels) Classify(c *mwcall.Call, s *mwconfig.Snapshot, v mwconfig.Server) {
	c.Class.Verdict = s.Evaluate(c.Request(), v)
	if c.HasImportance {
		c.Class.Importance = c.Importance
	}
	c.Class.Route = RouteOf(c.Method, c.Path)
	c.Class.Priority = mwcall.NewPriority(c.Class.Importance, c.Depth > 0, c.Root)
}

// Observe does nothing.
func (Labels) Observe(*mwcall.Call, mwcall.Sample) {}

// RouteOf returns the route of a call: its method and the first segment of its
// path. The remaining segments are ignored, since they are mostly ids.
func RouteOf(method, path string) mwid.Route {
	path = strings.TrimPrefix(path, "/")
	if i := strings.IndexByte(path, '/'); i >= 0 {
		path = path[:i]
	}
	return mwid.Route(method + " /" + path)
}
