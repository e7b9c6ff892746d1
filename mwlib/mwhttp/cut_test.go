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

// A backend server that stops in the head of an answer and closes must not become a
// success with an empty or short body.
func TestAnswerCutInItsHead(t *testing.T) {
	tests := []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX: y\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"no length", "HTTP/1.1 200 OK\r\nX: y\r\n\r"},
		{"no content", "HTTP/1.1 204 No Content\r\nX: y\r\n\r"},
		{"after an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStack(t, http.NotFoundHandler())
			var n atomic.Int32
			ln := accept(c, func(conn net.Conn) {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				io.WriteString(conn, test.head[:n.Load()])
			})
			s.announce(c, ln, 1)
			for i := range len(test.head) + 1 {
				n.Store(int32(i))
				resp, body := do(c, s.request(c, "POST", "/", nil))
				c.Check(code(resp), qt.Equals, want(mwcode.ConnectionLost), qt.Commentf("%q: %s %q", test.head[:i], resp.Status, body))
			}
		})
	}
}

// longPart is a part of a body that is not held, so that it reaches the caller.
var longPart = strings.Repeat("x", 100<<10)

// An answer that breaks off after its caller has disconnected must not be stored for
// the repetitions of the call as if it were complete.
func TestCutAnswerIsNotStored(t *testing.T) {
	overEachWay(t, "keyed", func(c *qt.C, s *stack, w way) {
		disconnected := make(chan struct{})
		ln := accept(c, func(conn net.Conn) {
			defer conn.Close()
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(longPart), longPart)
			<-disconnected
			io.WriteString(conn, "20\r\nless than 32 bytes")
		})
		s.announce(c, ln, 1)
		r := s.request(c, "POST", "/orders", nil)
		r.URL.Host = strings.TrimPrefix(s.url(w.direct), "http://")
		r.Header.Set(mwhttp.HeaderKey, "key")
		conn, err := net.Dial("tcp", r.URL.Host)
		c.Assert(err, qt.IsNil)
		c.Assert(r.Write(conn), qt.IsNil)
		_, err = io.ReadFull(conn, make([]byte, len(longPart)))
		c.Assert(err, qt.IsNil)
		c.Assert(conn.(*net.TCPConn).SetLinger(0), qt.IsNil)
		c.Assert(conn.Close(), qt.IsNil)
		close(disconnected)
		r.Header.Set(mwhttp.HeaderTimeout, "300ms") // It waits for an answer that is not stored.
		n, ok := completeAnswer(r)
		c.Check(ok, qt.IsFalse, qt.Commentf("a complete answer of %d bytes", n))
	})
}
