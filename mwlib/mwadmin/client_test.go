package mwadmin_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwadmin"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
)

// A malformed answer must not be reported to the operator as a success.
func TestMalformedAnswer(t *testing.T) {
	for _, test := range []struct{ name, answer string }{
		{"status", "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n"},
		{"name of a field", "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n{}"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { ln.Close() })
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return // The listener is closed.
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.WriteString(conn, test.answer)
				}
			}()
			err = mwadmin.NewClient(mwid.Address(ln.Addr().String())).Drain(t.Context())
			c.Check(mwcode.CodeOf(err), qt.Equals, mwcode.Unreachable)
		})
	}
}
