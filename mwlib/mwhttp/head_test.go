package mwhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwhttp"
)

// fixedServer is a server that reads each request, sends a fixed answer and closes
// the connection.
type fixedServer struct {
	answer   string
	requests atomic.Int32
}

func (s *fixedServer) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	if r.Header.Get("Expect") != "" {
		io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	io.Copy(io.Discard, r.Body)
	io.WriteString(conn, s.answer)
}

// testMalformed tests that a call whose backend server sends answer runs once and
// gets code want. If that is mwcode.AnswerCut, it is mwcode.ConnectionLost where the
// answer is read before its head is passed on.
func testMalformed(t *testing.T, name, answer string, want mwcode.Code) {
	overEachWay(t, name, func(c *qt.C, s *stack, w way) {
		b := &fixedServer{answer: answer}
		s.announce(c, accept(c, b.serve), 1)
		want := want
		if w.buffered {
			want = mwcode.ConnectionLost
		}
		c.Check(outcomeOf(c, upload(c, s.url(w.direct), 10)), qt.Equals, want)
		c.Check(b.requests.Load(), qt.Equals, int32(1))
	})
}

// A status below 100 is not one of an informational answer.
func TestMalformedStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "-01", "-00"} {
		testMalformed(t, status, "HTTP/1.1 "+status+" \r\nContent-Length: 2\r\n\r\nok", mwcode.ConnectionLost)
	}
	testMalformed(t, "before another answer", "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", mwcode.ConnectionLost)
}

// malformedNames are lines whose name has a byte that no name of a field has, or no
// name at all. Some would state how the body ends.
var malformedNames = []string{
	"X Y: 1", "X : 1", "X\t: 1", "X\x00Y: 1", "X\x7fY: 1", "X\xe4Y: 1", ": 1", "X",
	"Transfer-Encoding : chunked", "Content-Length : 2", "Connection : close", "Content-Length\x00: 2",
}

func TestMalformedNames(t *testing.T) {
	tests := []struct {
		name, before, after string
		want                mwcode.Code
	}{
		{"after the length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "\r\nok", mwcode.ConnectionLost},
		{"before the length", "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok", mwcode.ConnectionLost},
		{"without a length", "HTTP/1.1 200 OK\r\n", "\r\n2\r\nok\r\n0\r\n\r\n", mwcode.ConnectionLost},
		{"of a failure", "HTTP/1.1 503 Service Unavailable\r\n" + mwhttp.HeaderNotRun + ": 1\r\n", "Content-Length: 2\r\n\r\nok", mwcode.ConnectionLost},
		{"of an informational answer", "HTTP/1.1 103 Early Hints\r\n", "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", mwcode.ConnectionLost},
		{"of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "\r\n", mwcode.AnswerCut},
	}
	for _, test := range tests {
		for _, line := range malformedNames {
			testMalformed(t, fmt.Sprintf("%s, %q", test.name, line), test.before+line+"\r\n"+test.after, test.want)
		}
	}
}

// nameBytes are all bytes of which the name of a field may consist (RFC 9110, section
// 5.6.2).
const nameBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// An answer whose head is unusual but well-formed is passed on.
func TestUnusualHeads(t *testing.T) {
	for _, test := range []struct{ name, answer string }{
		{"every byte of a name", "HTTP/1.1 200 OK\r\n" + nameBytes + ": 1\r\nContent-Length: 2\r\n\r\nok"},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok"},
		{"no space after the colon", "HTTP/1.1 200 OK\r\nX:1\r\nContent-Length:2\r\n\r\nok"},
		{"blanks around a value", "HTTP/1.1 200 OK\r\nContent-Length: \t 2 \t \r\n\r\nok"},
		{"unknown success", "HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nok"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n"},
		{"an informational answer", "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	} {
		overEachWay(t, test.name, func(c *qt.C, s *stack, w way) {
			b := &fixedServer{answer: test.answer}
			s.announce(c, accept(c, b.serve), 1)
			c.Check(outcomeOf(c, upload(c, s.url(w.direct), 10)), qt.Equals, mwcode.OK)
		})
	}
}

// The address of a node that is gone may belong to any server. Calls whose body is
// held and those whose body is streamed use different connections.
func TestMalformedAnswersOfNodes(t *testing.T) {
	tests := []struct {
		name, answer string
		want         mwcode.Code
	}{
		{"status", "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok", mwcode.ConnectionLost},
		{"name", "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok", mwcode.ConnectionLost},
		{"name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", mwcode.ConnectionLost},
		{"name in an informational answer", "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", mwcode.ConnectionLost},
		{"name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n", mwcode.AnswerCut},
	}
	for _, size := range []int{10, uploadSize} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%s, upload of %d bytes", test.name, size), func(t *testing.T) {
				c := qt.New(t)
				node := &fixedServer{answer: test.answer}
				r := upload(c, newEntryBefore(t, accept(c, node.serve)), size)
				c.Check(outcomeOf(c, r), qt.Equals, test.want)
				c.Check(node.requests.Load(), qt.Equals, int32(1))
			})
		}
	}
}
