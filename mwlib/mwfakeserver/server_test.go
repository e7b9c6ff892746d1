package mwfakeserver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// node is a fake of a node's local listener. It records announcements and
// answers calls.
type node struct {
	mu        sync.Mutex
	announced []string
	calls     []http.Header
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.URL.Path != "/mw/announce" {
		n.calls = append(n.calls, r.Header)
		return
	}
	n.announced = append(n.announced, r.Method+" "+r.URL.RawQuery+string(b))
	w.WriteHeader(http.StatusNoContent)
}

func startNode(c *qt.C) (*node, mwid.Address) {
	n := &node{}
	s := httptest.NewServer(n)
	c.Cleanup(s.Close)
	return n, mwid.Address(s.Listener.Addr().String())
}

func TestAnnounceLeaveWithdraw(t *testing.T) {
	c := qt.New(t)
	n, addr := startNode(c)
	s, stop, err := mwfakeserver.New("auftrag", addr, mwfakeserver.WithSlots(7, 1),
		mwfakeserver.WithConnections(9), mwfakeserver.WithLabels(mwlabel.Set{"Generation": "new"}))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Drain(t.Context()), qt.IsNil)
	stop()
	prefix := `{"Service":"auftrag","Address":"` + string(s.Address()) +
		`","Slots":7,"Connections":9,"Labels":{"Generation":"new"},"TTL":"3s","Leaving":`
	c.Assert(n.announced, qt.DeepEquals, []string{
		"PUT " + prefix + "false}", "PUT " + prefix + "true}", "DELETE Service=auftrag",
	})
}

func TestNewTellsThatTheNodeIsAway(t *testing.T) {
	c := qt.New(t)
	_, _, err := mwfakeserver.New("auftrag", "127.0.0.1:1")
	c.Assert(err, qt.ErrorMatches, `backend server auftrag: announcing: .*refused`)
}

func TestChildCallsAndRecord(t *testing.T) {
	c := qt.New(t)
	n, addr := startNode(c)
	rec := mwfakeserver.NewRecord()
	s, stop, err := mwfakeserver.New("auftrag", addr, mwfakeserver.WithRecord(rec),
		mwfakeserver.WithClasses(mwfakeserver.Class{Prefix: "/", Body: 100_000, Stages: []mwfakeserver.Stage{
			{{Service: "korrektur", Method: http.MethodPost, Path: "/check"}},
			{{Service: "katalog", Path: "/a"}},
		}}))
	c.Assert(err, qt.IsNil)
	defer stop()
	r, err := http.NewRequest(http.MethodPost, "http://"+string(s.Address())+"/orders", nil)
	c.Assert(err, qt.IsNil)
	r.Header.Set("Mw-Parent", "p")
	r.Header.Set("Mw-Key", "k")
	r.Header.Set("Mw-Timeout", "1h")
	r.Header.Set(mwfakeserver.RequestIDHeader, "id")
	res, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(len(body), qt.Equals, 100_000)
	c.Assert(rec.Runs("id"), qt.Equals, mwunit.Attempts(1))
	c.Assert(rec.RunsOfKey("k"), qt.Equals, mwunit.Attempts(1))
	c.Assert(rec.DuplicateKeys(), qt.HasLen, 0)
	c.Assert(n.calls, qt.HasLen, 2)
	var got [][]string
	for _, h := range n.calls {
		c.Assert(h.Get("Mw-Timeout"), qt.Matches, `59m.*`)
		got = append(got, []string{h.Get("Mw-Service"), h.Get("Mw-Parent"), h.Get("Mw-Key"),
			h.Get(mwfakeserver.RequestIDHeader)})
	}
	c.Assert(got, qt.DeepEquals, [][]string{
		{"korrektur", "p", "k/0.0", "id/0.0"}, {"katalog", "p", "", "id/1.0"},
	})
}
