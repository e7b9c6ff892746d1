package mwhttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwunit"
)

// endlessServer is a backend server that answers each request with start,
// followed by repeat without end.
type endlessServer struct {
	start, repeat string
	conns         atomic.Int32
}

func (b *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	b.conns.Add(1)
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	if _, err := io.WriteString(conn, b.start); err != nil {
		return
	}
	piece := []byte(strings.Repeat(b.repeat, 1+4096/len(b.repeat)))
	for err == nil {
		_, err = conn.Write(piece)
	}
}

// announceEndless makes b the backend server of the stack's target.
func announceEndless(c *qt.C, s *stack, b *endlessServer, slots mwunit.Slots) {
	s.announce(c, accept(c, b.serve), slots)
}

// longTimeout is the time limit of calls that must end long before it.
const longTimeout = "50s"

// A backend server that is no longer an HTTP server may send bytes without end.
// The call must end because of their number, before its deadline, and free its
// slot: the server has one slot, and each row calls it three times.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name string
		b    *endlessServer
		want mwcode.Code
	}{
		{"status line", &endlessServer{start: "HTTP/1.1 200 ", repeat: "O"}, mwcode.ConnectionLost},
		{"bytes that are no answer", &endlessServer{repeat: "\x00\xff"}, mwcode.ConnectionLost},
		{"header line", &endlessServer{start: head + "X: ", repeat: "x"}, mwcode.ConnectionLost},
		{"headers", &endlessServer{start: head, repeat: "X: x\r\n"}, mwcode.ConnectionLost},
		{"informational answers", &endlessServer{repeat: "HTTP/1.1 102 Processing\r\n\r\n"}, mwcode.ConnectionLost},
		{"chunk extension", &endlessServer{start: head + "Transfer-Encoding: chunked\r\n\r\n2;x=", repeat: "x"}, mwcode.ConnectionLost},
		{"chunk size", &endlessServer{start: head + "Transfer-Encoding: chunked\r\n\r\n", repeat: "0"}, mwcode.ConnectionLost},
		{"trailer", &endlessServer{start: head + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: ", repeat: "x"}, mwcode.AnswerCut},
		{"bytes after the body", &endlessServer{start: head + "Content-Length: 2\r\n\r\nok", repeat: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"}, mwcode.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStack(t, http.NotFoundHandler())
			announceEndless(c, s, test.b, 1)
			for range 3 {
				r := s.request(c, "POST", "/", nil)
				r.Header.Set(mwhttp.HeaderTimeout, longTimeout)
				c.Assert(outcomeOf(c, r), qt.Equals, test.want)
			}
			c.Assert(test.b.conns.Load(), qt.Equals, int32(3), qt.Commentf("a connection was used again"))
		})
	}
}

// outcomeOf sends r and returns the code of its answer: mwcode.AnswerCut for one
// that breaks off visibly, mwcode.ConnectFailed for a call that reached no server,
// and mwcode.OK for the body "ok".
func outcomeOf(c *qt.C, r *http.Request) mwcode.Code {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return mwcode.AnswerCut
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return mwcode.AnswerCut
	case code(resp) == want(mwcode.ConnectionLost):
		return mwcode.ConnectionLost
	case code(resp) == want(mwcode.ConnectFailed):
		return mwcode.ConnectFailed
	}
	c.Assert(string(b), qt.Equals, "ok")
	return mwcode.OK
}

// A node of 184 MB must survive 200 backend servers that send without end at once,
// so each may cost it 0.9 MB.
const (
	endlessCalls = 200
	smallMemory  = 184 << 20
	bytesPerCall = smallMemory / endlessCalls
)

// A body without end is passed on as it comes, and the memory that it takes must not
// depend on its length. The caller ends the call.
func TestMemoryOfEndlessBodies(t *testing.T) {
	const passedOn = 4 * bytesPerCall
	tests := []struct {
		name string
		b    *endlessServer
	}{
		{"chunked", &endlessServer{start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"}},
		{"of the longest length", &endlessServer{start: "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", repeat: "x"}},
		{"until the end of the connection", &endlessServer{start: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", repeat: "x"}},
		{"of a failure", &endlessServer{start: "HTTP/1.1 500 Internal Server Error\r\n\r\n", repeat: "x"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStack(t, http.NotFoundHandler())
			announceEndless(c, s, test.b, 1)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			r := s.request(c, "POST", "/", nil)
			r.Header.Set(mwhttp.HeaderTimeout, longTimeout)
			resp, err := http.DefaultClient.Do(r)
			c.Assert(err, qt.IsNil)
			n, err := io.CopyN(io.Discard, resp.Body, passedOn)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Body.Close(), qt.IsNil)
			runtime.ReadMemStats(&after)
			c.Check(n, qt.Equals, int64(passedOn))
			used := after.TotalAlloc - before.TotalAlloc
			c.Check(used < bytesPerCall, qt.IsTrue, qt.Commentf("%d bytes a call", used))
		})
	}
}

// A head without end is read up to a limit.
func TestMemoryOfEndlessAnswers(t *testing.T) {
	const (
		calls = endlessCalls
		slots = 4 * calls // The limiter starts below the announced slots.
	)
	c := qt.New(t)
	s := newStack(t, http.NotFoundHandler())
	announceEndless(c, s, &endlessServer{start: "HTTP/1.1 200 OK\r\n", repeat: "Long: " + strings.Repeat("x", 1000) + "\r\n"}, slots)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			got := mwcode.ConnectFailed
			for got == mwcode.ConnectFailed { // On a busy machine, one of 200 dials may time out.
				r := s.request(c, "POST", "/", nil)
				r.Header.Set(mwhttp.HeaderTimeout, longTimeout)
				got = outcomeOf(c, r)
			}
			c.Check(got, qt.Equals, mwcode.ConnectionLost)
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	perCall := (after.TotalAlloc - before.TotalAlloc) / calls
	c.Assert(perCall < bytesPerCall, qt.IsTrue, qt.Commentf("%d bytes a call", perCall))
}
