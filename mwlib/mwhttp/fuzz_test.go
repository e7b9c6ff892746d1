package mwhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwhttp"
)

// FuzzPeerHeaders sends arbitrary protocol headers to the peer listener. Every
// answer must be complete, and a refusal must have a code and the outcome that
// belongs to it, unless net/http's server refuses the header itself.
func FuzzPeerHeaders(f *testing.F) {
	s := newStack(f, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {}))
	f.Add("auftrag", "a1", "0", "1", "50", "1s", "k")
	f.Add("", "", "-1", "x", "1000", "-1s", "")
	f.Add("auftrag", "a1", "99", "1048577", "50", "1000000h", "k")
	f.Add("auftrag", "0", "0", "0", "0", "1s", "\x1d")
	f.Fuzz(func(t *testing.T, service, attempt, depth, budget, importance, timeout, key string) {
		var head strings.Builder
		head.WriteString("GET / HTTP/1.1\r\nHost: node\r\nConnection: close\r\n")
		for name, v := range map[string]string{
			mwhttp.HeaderService: service, mwhttp.HeaderAttempt: attempt, mwhttp.HeaderDepth: depth,
			mwhttp.HeaderBudget: budget, mwhttp.HeaderImportance: importance,
			mwhttp.HeaderTimeout: timeout, mwhttp.HeaderKey: key,
		} {
			if strings.ContainsAny(v, "\r\n") {
				t.Skip("more than one header")
			}
			fmt.Fprintf(&head, "%s: %s\r\n", name, v)
		}
		head.WriteString("\r\n")
		c := qt.New(t)
		conn, err := net.Dial("tcp", s.peer.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, head.String())
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		if code(resp) == "" && strings.HasPrefix(string(body), "400 Bad Request") {
			return // The answer of net/http's server.
		}
		checkAnswer(c, resp)
	})
}

func checkAnswer(c *qt.C, resp *http.Response) {
	if code(resp) == "" {
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		return
	}
	n, err := strconv.Atoi(code(resp))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode >= http.StatusBadRequest, qt.IsTrue)
	outcome := "OutcomeUnknown"
	if n >= 1000 && n < 2000 {
		outcome = "NotRun"
	}
	c.Assert(resp.Header.Get(mwhttp.HeaderOutcome), qt.Equals, outcome)
}

// FuzzAnnouncement sends arbitrary bodies to AnnouncePath. Each must be
// accepted or refused with a code.
func FuzzAnnouncement(f *testing.F) {
	front, _ := newNode(qt.New(f), newZone(f))
	f.Add(`{"Service": "auftrag", "Address": "127.0.0.1:9001", "Slots": 90, "Connections": 660, "TTL": "3s"}`)
	f.Add(`{"Service": "auftrag", "Slots": -1}`)
	f.Add(`{"Service": "auftrag", "Address": "127.0.0.1:9001", "Slots": 9, "Connections": 9, "Instance": "i", "Started": "2026-12-07T12:00:00Z", "Seq": 1}`)
	f.Add(`{"Unknown": 1}`)
	f.Add(`[`)
	local := front.Local()
	f.Fuzz(func(t *testing.T, body string) {
		c := qt.New(t)
		r := httptest.NewRequest(http.MethodPut, mwhttp.AnnouncePath, strings.NewReader(body))
		w := httptest.NewRecorder()
		local.ServeHTTP(w, r)
		if w.Code == http.StatusNoContent {
			return
		}
		if w.Code == http.StatusServiceUnavailable {
			c.Assert(w.Body.String(), qt.Contains, `"Code":4011`)
			return
		}
		c.Assert(w.Code, qt.Equals, http.StatusBadRequest)
		c.Assert(w.Body.String(), qt.Contains, `"Code":3`)
	})
}
