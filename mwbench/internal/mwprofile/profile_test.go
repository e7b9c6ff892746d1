package mwprofile_test

import (
	"testing"
	"testing/fstest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwbench/internal/mwprofile"
	mwprofiles "mustardwheel.example/mwbench/profiles"
	"mustardwheel.example/mwlib/mwunit"
)

func TestLoad(t *testing.T) {
	tests := []struct {
		name  mwprofile.Name
		slots [2]mwunit.Slots // of Order and Proof
		conns mwunit.Connections
		rate  mwunit.PerSecond // capacity of Order at its Time
	}{
		{name: "verband", slots: [2]mwunit.Slots{15, 2}, conns: 110, rate: 2250},
		{name: "harrow", slots: [2]mwunit.Slots{16, 3}, conns: 100, rate: 2400},
	}
	for _, test := range tests {
		t.Run(string(test.name), func(t *testing.T) {
			c := qt.New(t)
			p, err := mwprofile.Load(mwprofiles.Files, test.name)
			c.Assert(err, qt.IsNil)
			c.Assert(p.Zones, qt.HasLen, 6)
			c.Assert([2]mwunit.Slots{p.Order.Slots, p.Proof.Slots}, qt.Equals, test.slots)
			c.Assert(p.Order.Connections, qt.Equals, test.conns)
			c.Assert(p.Order.Capacity(time.Duration(p.Order.Time)), qt.Equals, test.rate)
		})
	}
}

func TestLoadRefuses(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{name: "unknown field", text: `{"Sclae": 1}`, want: `profile p: json: unknown field "Sclae"`},
		{name: "scale", text: `{"Scale": 0.5}`, want: `profile p: BadValue .*: Scale: expected at least 1`},
		{name: "zones", text: `{"Scale": 1}`, want: `profile p: BadValue .*: Zones: expected at least one`},
		{name: "service", text: `{"Scale": 1, "Zones": [{"Zone": "z"}]}`, want: `profile p: BadValue .*: expected a service.*`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fsys := fstest.MapFS{"p.json": {Data: []byte(test.text)}}
			_, err := mwprofile.Load(fsys, "p")
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}
