package mwhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwhttp"
)

// If a sender stops in the middle of a body that fits into the buffer, the
// backend server must not receive the call.
func TestSilentSenderReachesNoBackend(t *testing.T) {
	c := qt.New(t)
	var hits atomic.Int32
	s := newStack(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { hits.Add(1) }))
	conn, err := net.Dial("tcp", s.entry.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /orders HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: 10\r\n\r\nhalf",
		mwhttp.HeaderService, service)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer resp.Body.Close()
		c.Assert(code(resp), qt.Equals, want(mwcode.CallerGone))
	}
	c.Assert(hits.Load(), qt.Equals, int32(0))
}

// Bodies of sizes around the buffer's size must arrive complete, with and
// without a length.
func TestBodiesAroundTheBuffer(t *testing.T) {
	const buffer = 64 << 10 // default of --relay.buffer in bytes
	for _, size := range []int{0, 1, buffer - 1, buffer, buffer + 1, 3 * buffer} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, chunked %v", size, chunked), func(t *testing.T) {
				c := qt.New(t)
				s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					n, err := io.Copy(io.Discard, r.Body)
					fmt.Fprint(w, n, err)
				}))
				var body io.Reader = strings.NewReader(strings.Repeat("x", size))
				if chunked {
					body = io.MultiReader(body) // Hides the length from net/http.
				}
				_, got := do(c, s.request(c, "POST", "/", body))
				c.Assert(got, qt.Equals, fmt.Sprint(size, error(nil)))
			})
		}
	}
}
