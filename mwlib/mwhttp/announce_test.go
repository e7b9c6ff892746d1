package mwhttp_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwkernel"
)

// started is the start time of the backend servers in the tests of announcements.
var started = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

// announcer sends announcements of instance i-1 to a node that has just started.
type announcer struct {
	c       *qt.C
	local   http.Handler
	k       *mwkernel.Kernel
	address string // address of the backend server
}

// newAnnouncer runs a node and a backend server that answers health checks with health.
func newAnnouncer(t *testing.T, health http.HandlerFunc) *announcer {
	c := qt.New(t)
	srv := httptest.NewServer(health)
	c.Cleanup(srv.Close)
	front, k := newNode(c, newZone(t))
	return &announcer{c, front.Local(), k, strings.TrimPrefix(srv.URL, "http://")}
}

// known returns the announcements of backend servers that take work.
func (a *announcer) known() []mwcall.Announcement {
	return slices.DeleteFunc(a.k.Announced(), func(a mwcall.Announcement) bool { return a.Leaving })
}

// do sends a request to the node's local listener and returns the status.
func (a *announcer) do(method, query, body string) int {
	w := httptest.NewRecorder()
	a.local.ServeHTTP(w, httptest.NewRequest(method, mwhttp.AnnouncePath+"?"+query, strings.NewReader(body)))
	return w.Code
}

// put announces the backend server for service s, with the fields of order.
func (a *announcer) put(s, order string) int {
	return a.do(http.MethodPut, "", fmt.Sprintf(`{"Service": %q, "Address": %q, "Slots": 4, "Connections": 8%s}`, s, a.address, order))
}

// order returns the fields that order announcement seq of i-1.
func order(start time.Time, seq int) string {
	return fmt.Sprintf(`, "Instance": "i-1", "Started": %q, "Seq": %d`, start.Format(time.RFC3339Nano), seq)
}

// respond returns a handler that answers health checks with the given headers.
func respond(status int, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
	}
}

// TestLateAnnouncement guards against work for a backend server that has told its node,
// or an earlier process of it, that it leaves.
func TestLateAnnouncement(t *testing.T) {
	good := respond(200, mwhttp.HeaderInstance, "i-1")
	leave := url.Values{"Instance": {"i-1"}, "Started": {started.Format(time.RFC3339Nano)}}.Encode()
	next := started.Add(time.Second)
	for _, test := range []struct {
		name    string
		before  string // order of the announcement before the leave, empty if there is none
		leave   string // query of the leave, empty if there is none
		service string
		order   string
		health  http.HandlerFunc
		status  int
		known   int
	}{
		{"running", "", "", "checked", order(started, 1), good, 204, 1},
		{"leaving", "", "", "checked", order(started, 1), respond(503, mwhttp.HeaderInstance, "i-1"), 204, 0},
		{"another instance", "", "", "checked", order(started, 1), respond(200, mwhttp.HeaderInstance, "i-2"), 204, 0},
		{"no free slot", "", "", "checked", order(started, 1), respond(503, mwhttp.HeaderNotRun, "1"), 503, 0},
		{"no health path", "", "", string(service), order(started, 1), good, 503, 0},
		{"not ordered", "", "", "checked", "", respond(503), 204, 1},
		{"start without an instance", "", "", "checked", `, "Started": "2026-12-07T12:00:00Z"`, good, 400, 0},
		{"known left", order(started, 2), leave, "checked", order(started, 1), good, 204, 0},
		{"unknown left", "", leave, "checked", order(started, 1), good, 204, 0},
		{"later start", order(started, 2), leave, "checked", order(next, 1), good, 204, 1},
		{"an earlier start left", order(next, 1), leave, "checked", order(next, 2), good, 204, 1},
		{"malformed leave", order(started, 1), "Instance=i-1&Started=noon", "checked", order(started, 2), good, 204, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAnnouncer(t, test.health)
			if test.before != "" {
				a.c.Check(a.put("checked", test.before), qt.Equals, http.StatusNoContent)
			}
			if test.leave != "" {
				a.c.Check(a.do(http.MethodDelete, test.leave, "") == http.StatusNoContent, qt.Equals, test.leave == leave)
			}
			a.c.Check(a.put(test.service, test.order), qt.Equals, test.status)
			a.c.Check(a.known(), qt.HasLen, test.known)
		})
	}
}
