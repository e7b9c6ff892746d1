package mwclass_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwclass"
	"mustardwheel.example/mwlib/mwconfig"
)

const documents = `
{"Kind": "RequestLabel", "Name": "art", "Spec": {"PathPrefix": "/art", "Labels": {"Work": "art"}}}
{"Kind": "Selector", "Name": "art", "Spec": {"On": "Request", "Terms": [{"Label": "Work", "In": ["art"]}]}}
{"Kind": "Policy", "Name": "art", "Spec": {"Requests": "art", "Importance": 40, "Length": "Long"}}
`

func snapshot(c *qt.C) *mwconfig.Snapshot {
	docs, err := mwconfig.Decode("f.json", strings.NewReader(documents))
	c.Assert(err, qt.IsNil)
	s, err := mwconfig.Compile(3, docs)
	c.Assert(err, qt.IsNil)
	return s
}

func TestLengthFollowsHistory(t *testing.T) {
	tests := []struct {
		name string
		path string
		took []time.Duration // took holds the durations of the n calls, repeated as needed.
		n    int
		want mwconfig.Length
	}{
		{name: "labels alone", path: "/art/1", want: mwconfig.Long},
		{name: "too few", path: "/art/1", took: []time.Duration{time.Millisecond}, n: 2, want: mwconfig.Long},
		{name: "labelled long, measured short", path: "/art/1", took: []time.Duration{time.Millisecond}, n: 3, want: mwconfig.Short},
		{name: "not labelled, measured long", path: "/x", took: []time.Duration{time.Minute}, n: 3, want: mwconfig.Long},
		{name: "medium", path: "/x", took: []time.Duration{300 * time.Millisecond}, n: 3, want: mwconfig.Medium},
		{name: "one straggler in ten", path: "/x", n: 100, want: mwconfig.Short, took: []time.Duration{
			9: time.Minute, 0: 1, 1: 1, 2: 1, 3: 1, 4: 1, 5: 1, 6: 1, 7: 1, 8: 1,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, h := snapshot(c), mwclass.NewHistory()
			call := &mwcall.Call{Service: "katalog", Caller: "shop-1", Method: "GET", Path: test.path}
			for i := range test.n {
				h.Classify(call, s, mwconfig.Server{})
				h.Observe(call, mwcall.Sample{Took: test.took[i%len(test.took)]})
			}
			h.Classify(call, s, mwconfig.Server{})
			c.Assert(call.Class.Length, qt.Equals, test.want)
		})
	}
}

func TestPriorityIsInheritedFromTheRoot(t *testing.T) {
	c := qt.New(t)
	s, h := snapshot(c), mwclass.NewHistory()
	call := &mwcall.Call{Root: "r", Depth: 2, Path: "/art/1", Method: "GET", Importance: 90, HasImportance: true}
	h.Classify(call, s, mwconfig.Server{})
	c.Assert(call.Class.Priority, qt.Equals, mwcall.NewPriority(90, true, "r"))
	c.Assert(string(call.Class.Route), qt.Equals, "GET /art")
	call.Depth, call.HasImportance = 0, false
	h.Classify(call, s, mwconfig.Server{})
	c.Assert(call.Class.Priority, qt.Equals, mwcall.NewPriority(40, false, "r"))
}

func BenchmarkClassify(b *testing.B) {
	s, h := snapshot(qt.New(b)), mwclass.NewHistory()
	call := &mwcall.Call{Root: "r", Service: "katalog", Caller: "shop-1", Method: "GET", Path: "/art/1"}
	b.ReportAllocs()
	for b.Loop() {
		h.Classify(call, s, mwconfig.Server{})
		h.Observe(call, mwcall.Sample{Took: time.Millisecond})
	}
}

// BenchmarkNewHistory measures the memory of a History, all of which is
// allocated at its start.
func BenchmarkNewHistory(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		mwclass.NewHistory()
	}
}
