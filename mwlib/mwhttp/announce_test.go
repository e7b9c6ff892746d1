package mwhttp_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwid"
)

// started is the start time of the backend servers in the tests of announcements.
var started = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

// announcer sends announcements of instance i-1 to a node that has just started.
type announcer struct {
	c       *qt.C
	local   http.Handler
	address string // address of the backend server
	known   func() []mwid.InstanceID
}

// newAnnouncer runs a node and a backend server that answers health checks with health.
func newAnnouncer(t *testing.T, health http.HandlerFunc) *announcer {
	c := qt.New(t)
	srv := httptest.NewServer(health)
	c.Cleanup(srv.Close)
	front, k := newNode(c, newZoneOf(t, documents+`
{"Kind": "Service", "Name": "checked", "Spec": {"Connections": 20, "HealthPath": "/health"}}`))
	return &announcer{
		c: c, local: front.Local(), address: strings.TrimPrefix(srv.URL, "http://"),
		known: func() (ids []mwid.InstanceID) {
			for _, a := range k.Announced() {
				if !a.Leaving {
					ids = append(ids, a.Instance)
				}
			}
			return ids
		},
	}
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

// TestLateAnnouncementAfterARestart guards against work for a backend server that has
// told an earlier process of its node that it leaves.
func TestLateAnnouncementAfterARestart(t *testing.T) {
	good := respond(200, mwhttp.HeaderInstance, "i-1")
	for _, test := range []struct {
		name    string
		service string
		order   string
		health  http.HandlerFunc
		status  int
		known   int
	}{
		{"running", "checked", order(started, 1), good, 204, 1},
		{"leaving", "checked", order(started, 1), respond(503, mwhttp.HeaderInstance, "i-1"), 204, 0},
		{"another instance", "checked", order(started, 1), respond(200, mwhttp.HeaderInstance, "i-2"), 204, 0},
		{"no free slot", "checked", order(started, 1), respond(503, mwhttp.HeaderNotRun, "1"), 503, 0},
		{"no health path", string(service), order(started, 1), good, 503, 0},
		{"not ordered", "checked", "", respond(503), 204, 1},
		{"start without an instance", "checked", `, "Started": "2026-12-07T12:00:00Z"`, good, 400, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAnnouncer(t, test.health)
			a.c.Check(a.put(test.service, test.order), qt.Equals, test.status)
			a.c.Check(a.known(), qt.HasLen, test.known)
		})
	}
}

// TestLateAnnouncementAfterALeave guards against work for a backend server whose leave
// overtakes an earlier announcement.
func TestLateAnnouncementAfterALeave(t *testing.T) {
	leave := url.Values{"Instance": {"i-1"}, "Started": {started.Format(time.RFC3339Nano)}}.Encode()
	for _, test := range []struct {
		name   string
		first  string // order of the announcement before the leave, empty if there is none
		leave  string
		status int
		late   string
		known  int
	}{
		{"known", order(started, 2), leave, 204, order(started, 1), 0},
		{"not known", "", leave, 204, order(started, 1), 0},
		{"later start", order(started, 2), leave, 204, order(started.Add(time.Second), 1), 1},
		{"leave of an earlier start", order(started.Add(time.Second), 1), leave, 204, order(started.Add(time.Second), 2), 1},
		{"malformed leave", order(started, 1), "Instance=i-1&Started=noon", 400, order(started, 2), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAnnouncer(t, respond(200, mwhttp.HeaderInstance, "i-1"))
			if test.first != "" {
				a.c.Check(a.put("checked", test.first), qt.Equals, http.StatusNoContent)
			}
			a.c.Check(a.do(http.MethodDelete, test.leave, ""), qt.Equals, test.status)
			a.c.Check(a.put("checked", test.late), qt.Equals, http.StatusNoContent)
			a.c.Check(a.known(), qt.HasLen, test.known)
		})
	}
}
