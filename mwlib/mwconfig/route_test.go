package mwconfig_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

const routeDocuments = `
{"Kind": "Route", "Name": "all", "Spec": {"Host": "shop", "PathPrefix": "/", "Split": [{"Service": "a", "Weight": 1}], "Importance": 80, "Repeatable": true, "Timeout": "800ms", "Targets": 2}}
{"Kind": "Route", "Name": "deep", "Spec": {"Host": "shop", "PathPrefix": "/deep/", "Split": [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}, {"Service": "c", "Weight": 0}], "Importance": 100, "Objective": "1s"}}
{"Kind": "Service", "Name": "a", "Spec": {"Connections": 20, "HealthPath": "/health"}}
{"Kind": "CallerLimits", "Name": "limits", "Spec": {"BodyBytes": 1000}}
{"Kind": "Policy", "Name": "more", "Spec": {"Importance": 90}}
`

func compileRoutes(c *qt.C, text string) *mwconfig.Snapshot {
	docs, err := mwconfig.Decode("f.json", strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	s, err := mwconfig.Compile(1, docs)
	c.Assert(err, qt.IsNil)
	return s
}

func TestRouteOf(t *testing.T) {
	tests := []struct {
		name, host, path string
		want             mwconfig.DocumentName
		importance       mwunit.Importance
	}{
		{"shortest", "shop", "/x", "all", 90},
		{"longest prefix", "shop", "/deep/x", "deep", 90},
		{"prefix without its trailing slash", "shop", "/deep", "all", 90},
		{"another host", "other", "/deep/x", "", 90},
	}
	c := qt.New(t)
	s := compileRoutes(c, routeDocuments)
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			_, ok := s.RouteOf(test.host, test.path)
			c.Check(ok, qt.Equals, test.want != "")
			v := s.Evaluate(mwconfig.Request{Host: test.host, Path: test.path}, mwconfig.Server{})
			c.Check(v.Route, qt.Equals, test.want)
			c.Check(v.Importance, qt.Equals, test.importance)
		})
	}
	c.Check(s.ServiceOf("a").Connections, qt.Equals, mwunit.Connections(20))
	c.Check(s.CallerLimits().BodyBytes, qt.Equals, mwunit.Bytes(1000))
}

func TestSplitKeepsItsWeights(t *testing.T) {
	c := qt.New(t)
	r, ok := compileRoutes(c, routeDocuments).RouteOf("shop", "/deep/x")
	c.Assert(ok, qt.IsTrue)
	const points = 1000
	got := make(map[mwid.ServiceName]int)
	for i := range points {
		got[r.Pick(float64(i)/points)]++
	}
	c.Check(got, qt.DeepEquals, map[mwid.ServiceName]int{"a": 900, "b": 100})
}

func TestBadRoutes(t *testing.T) {
	tests := []struct{ name, spec, field string }{
		{"no host", `{"PathPrefix": "/", "Split": [{"Service": "a", "Weight": 1}]}`, "Host"},
		{"prefix without a slash", `{"Host": "h", "PathPrefix": "x", "Split": [{"Service": "a", "Weight": 1}]}`, "PathPrefix"},
		{"no service", `{"Host": "h", "PathPrefix": "/", "Split": []}`, "Split"},
		{"no weight", `{"Host": "h", "PathPrefix": "/", "Split": [{"Service": "a", "Weight": 0}]}`, "Split"},
		{"negative weight", `{"Host": "h", "PathPrefix": "/", "Split": [{"Service": "a", "Weight": -1}]}`, "Split[0]"},
		{"importance above 100", `{"Host": "h", "PathPrefix": "/", "Importance": 101, "Split": [{"Service": "a", "Weight": 1}]}`, "Importance"},
		{"negative time", `{"Host": "h", "PathPrefix": "/", "Timeout": "-1s", "Split": [{"Service": "a", "Weight": 1}]}`, "Timeout"},
		{"negative targets", `{"Host": "h", "PathPrefix": "/", "Targets": -1, "Split": [{"Service": "a", "Weight": 1}]}`, "Targets"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := mwconfig.Decode("f.json", strings.NewReader(`{"Kind": "Route", "Name": "r", "Spec": `+test.spec+`}`))
			c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.BadValue)
			c.Assert(err.Error(), qt.Contains, "Route/r."+test.field)
		})
	}
}
