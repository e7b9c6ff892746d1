package main_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A head that is within --relay.header-bytes must be served whatever its lines look
// like, also at a node of another VM, to which it is forwarded in a longer form.
func TestLargeHeads(t *testing.T) {
	for _, x := range []struct {
		name string
		args []string
	}{
		{"default settings", nil},
		{"little memory", []string{"--memory", "64"}},
	} {
		t.Run(x.name, func(t *testing.T) { testLargeHeads(qt.New(t), withNodeArgs(x.args...)) })
	}
}

func testLargeHeads(c *qt.C, opts ...option) {
	s := newSystem(c, 2, opts...)
	s.startServer(s.nodes[1])
	s.apply()
	s.waitForTargets(1)
	for _, x := range []struct{ name, head string }{
		{"distinct names", shortLines(getStart, headBytes)},
		{"one name", oddLines(getStart, headBytes)},
		{"one long line", getStart + "X-Large: " + strings.Repeat("x", headBytes) + "\r\n"},
	} {
		conn, err := net.Dial("tcp", string(s.nodes[0].entry))
		c.Assert(err, qt.IsNil)
		c.Check(roundTrip(conn, text(x.head+"\r\n")), qt.Equals, http.StatusOK, qt.Commentf(x.name))
		conn.Close()
	}
}
