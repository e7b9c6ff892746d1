package mwconfig_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
)

const exampleDocuments = `
{"Kind": "CallerLabel", "Name": "old-shops", "Spec": {"Callers": ["shop-17"], "Labels": {"Client": "old"}}}
{"Kind": "RequestLabel", "Name": "orders", "Spec": {"Service": "auftrag", "Method": "POST", "PathPrefix": "/orders", "Labels": {"Work": "order"}}}
{"Kind": "Selector", "Name": "orders", "Spec": {"On": "Request", "Terms": [{"Label": "Work", "In": ["order", "proof"]}]}}
{"Kind": "Selector", "Name": "not-orders", "Spec": {"On": "Request", "None": ["orders"]}}
{"Kind": "Selector", "Name": "old-callers", "Spec": {"On": "Caller", "Terms": [{"Label": "Client", "In": ["old"]}]}}
{"Kind": "Policy", "Name": "orders-first", "Spec": {"Requests": "orders", "Importance": 90, "Repeatable": false, "Deadline": "2s"}}
{"Kind": "Policy", "Name": "browsing", "Spec": {"Requests": "not-orders", "Importance": 10, "Repeatable": true}}
{"Kind": "Policy", "Name": "retired", "Spec": {"Rank": 5, "Callers": "old-callers", "Retired": {"Floor": 1, "Ceiling": 2}, "Importance": 40}}
`

func compile(c *qt.C, text string) *mwconfig.Snapshot {
	docs, err := mwconfig.Decode("example.json", strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	s, err := mwconfig.Compile(7, docs)
	c.Assert(err, qt.IsNil)
	return s
}

func TestJudge(t *testing.T) {
	tests := []struct {
		name string
		r    mwconfig.Request
		want mwconfig.Verdict
	}{{
		name: "order",
		r:    mwconfig.Request{Caller: "shop-1", Service: "auftrag", Method: "POST", Path: "/orders/1"},
		want: mwconfig.Verdict{
			Importance: 90, Length: mwconfig.Short, Retries: mwconfig.DefaultRetries,
			Deadline: 2 * time.Second, CallerRatio: mwconfig.DefaultCallerRatio,
			Matched: []mwconfig.DocumentName{"orders-first"},
		},
	}, {
		name: "browsing by a caller of the retired interface",
		r:    mwconfig.Request{Caller: "shop-17", Service: "katalog", Method: "GET", Path: "/templates"},
		want: mwconfig.Verdict{
			Importance: 40, Repeatable: true, Length: mwconfig.Short, Retries: mwconfig.DefaultRetries,
			Deadline: mwconfig.DefaultDeadline, CallerRatio: mwconfig.DefaultCallerRatio,
			Retired: "retired", Floor: 1, Ceiling: 2,
			Matched: []mwconfig.DocumentName{"retired", "browsing"},
		},
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := compile(c, exampleDocuments).Evaluate(test.r, mwconfig.Server{Service: test.r.Service})
			c.Assert(got, qt.DeepEquals, test.want)
		})
	}
}

func TestBadDocuments(t *testing.T) {
	tests := []struct {
		name string
		text string
		code mwcode.Code
		want string
	}{{
		name: "unknown field",
		text: `{"Kind": "Policy", "Name": "p", "Spec": {"Importanse": 1}}`,
		code: mwcode.UnknownField, want: `.*f\.json: Policy/p\.Importanse: expected .*`,
	}, {
		name: "unknown kind",
		text: `{"Kind": "Polizy", "Name": "p", "Spec": {}}`,
		code: mwcode.UnknownKind, want: `.*f\.json: Kind: expected one of .*, not Polizy`,
	}, {
		name: "conflicting bounds",
		text: `{"Kind": "Policy", "Name": "p", "Spec": {"Retired": {"Floor": 3, "Ceiling": 2}}}`,
		code: mwcode.ConflictingBounds, want: `.*Policy/p\.Retired: expected a Floor not above the Ceiling`,
	}, {
		name: "value of another type",
		text: `{"Kind": "Policy", "Name": "p", "Spec": {"Importance": "high"}}`,
		code: mwcode.BadValue, want: `.*Policy/p\.Importance: expected mwunit\.Importance, not string`,
	}, {
		name: "importance outside its bounds",
		text: `{"Kind": "Policy", "Name": "p", "Spec": {"Importance": 101}}`,
		code: mwcode.BadValue, want: `.*Policy/p\.Importance: expected 0 to 100`,
	}, {
		name: "not JSON", text: `{"Kind": `, code: mwcode.BadDocument, want: `.*f\.json.*`,
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := mwconfig.Decode("f.json", strings.NewReader(test.text))
			c.Assert(mwcode.CodeOf(err), qt.Equals, test.code)
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

func TestBadTogether(t *testing.T) {
	tests := []struct {
		name string
		text string
		code mwcode.Code
	}{{
		name: "duplicate",
		text: `{"Kind": "Policy", "Name": "p", "Spec": {}} {"Kind": "Policy", "Name": "p", "Spec": {}}`,
		code: mwcode.DuplicateName,
	}, {
		name: "cycle",
		text: `{"Kind": "Selector", "Name": "a", "Spec": {"On": "Caller", "All": ["b"]}}
		       {"Kind": "Selector", "Name": "b", "Spec": {"On": "Caller", "All": ["a"]}}`,
		code: mwcode.SelectorCycle,
	}, {
		name: "unknown selector",
		text: `{"Kind": "Policy", "Name": "p", "Spec": {"Callers": "nobody"}}`,
		code: mwcode.UnknownSelector,
	}, {
		name: "selector on another subject",
		text: `{"Kind": "Selector", "Name": "a", "Spec": {"On": "Request"}}
		       {"Kind": "Policy", "Name": "p", "Spec": {"Callers": "a"}}`,
		code: mwcode.UnknownSelector,
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			docs, err := mwconfig.Decode("f.json", strings.NewReader(test.text))
			c.Assert(err, qt.IsNil)
			_, err = mwconfig.Compile(1, docs)
			c.Assert(mwcode.CodeOf(err), qt.Equals, test.code)
		})
	}
}

func BenchmarkJudge(b *testing.B) {
	c := qt.New(b)
	s := compile(c, exampleDocuments)
	r := mwconfig.Request{Caller: "shop-17", Service: "katalog", Method: "GET", Path: "/templates"}
	b.ReportAllocs()
	for b.Loop() {
		_ = s.Evaluate(r, mwconfig.Server{Service: r.Service})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(exampleDocuments)
	f.Add(`{"Kind": "Policy", "Name": "p", "Spec": null}`)
	f.Fuzz(func(t *testing.T, text string) {
		docs, err := mwconfig.Decode("f.json", strings.NewReader(text))
		if err != nil {
			return
		}
		s, err := mwconfig.Compile(1, docs)
		if err != nil {
			return
		}
		s.Evaluate(mwconfig.Request{Service: "s", Path: "/"}, mwconfig.Server{})
	})
}
