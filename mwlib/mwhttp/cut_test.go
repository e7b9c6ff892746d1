package mwhttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
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
