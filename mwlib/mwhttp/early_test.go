package mwhttp_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwhttp"
)

// A backend server answers before it has read a long body, and reads on. It must get
// the bytes that the caller sent, in their order and without gaps.
func TestBodyBehindAnEarlyAnswer(t *testing.T) {
	// The body is longer than the buffers on its way.
	body := make([]byte, 4<<20)
	for i := range len(body) / 8 {
		copy(body[8*i:], fmt.Sprintf("%07d\n", i))
	}
	answer := bytes.Repeat([]byte("a"), 200<<10)
	tests := []struct {
		name   string
		direct bool // whether the request enters at the target's node
	}{
		{"at the target's node", true},
		{"at another node", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStack(t, http.NotFoundHandler())
			read := make(chan []byte, 1)
			ln := accept(c, func(conn net.Conn) {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
				got, _ := io.ReadAll(r.Body)
				read <- got
			})
			s.announce(c, ln, 1)
			// The reader hides the length of the body, so that it is sent in chunks.
			r := s.request(c, "POST", "/", io.MultiReader(bytes.NewReader(body)))
			if test.direct {
				r.URL.Host = s.direct.Listener.Addr().String()
			}
			r.Header.Set(mwhttp.HeaderTimeout, longTimeout)
			resp, text := do(c, r)
			c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%v", resp.Header))
			c.Check(text == string(answer), qt.IsTrue, qt.Commentf("%d bytes", len(text)))
			got := <-read
			c.Check(bytes.HasPrefix(body, got), qt.IsTrue, qt.Commentf("%d bytes", len(got)))
		})
	}
}
