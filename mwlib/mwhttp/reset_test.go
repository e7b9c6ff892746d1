package mwhttp_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwid"
)

// unframedServer is a server that answers each request with a body without a length,
// and then ends the connection.
type unframedServer struct {
	size     int           // bytes of the body that it sends
	upload   uploadReading // how much of the request it reads first
	delay    time.Duration // time between the body and the end of the connection; it varies the order of events only
	end      connEnd
	requests atomic.Int32
}

// uploadReading is how much of a request is read before it is answered.
type uploadReading string

// The values of uploadReading. A server that reads no more than the head asks for
// the rest if the sender waits for that.
const (
	readHead uploadReading = "head"
	readAll  uploadReading = "all"
)

// connEnd is a way to end a connection.
type connEnd string

// The values of connEnd.
const (
	endByReset connEnd = "reset"
	endByClose connEnd = "close"
	// endWithInput closes the connection while it has unread input, which resets it.
	endWithInput connEnd = "close with unread input"
	// endAndReadOn ends the direction of the answer only and reads the request.
	endAndReadOn connEnd = "end of the answer, reading on"
	// endAndClose ends the direction of the answer, and later closes the connection.
	endAndClose connEnd = "end of the answer, then close"
)

// closeDelay is the time between the two steps of endAndClose.
const closeDelay = 30 * time.Millisecond

func (s *unframedServer) serve(nc net.Conn) {
	defer nc.Close()
	conn := nc.(*net.TCPConn)
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	if r.Header.Get("Expect") != "" {
		io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if s.upload == readAll {
		io.Copy(io.Discard, r.Body)
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", strings.Repeat("x", s.size))
	time.Sleep(s.delay)
	switch s.end {
	case endByReset:
		conn.SetLinger(0)
	case endWithInput:
		waitForInput(conn)
	case endAndReadOn:
		conn.CloseWrite()
		io.Copy(io.Discard, conn)
	case endAndClose:
		conn.CloseWrite()
		time.Sleep(closeDelay)
	}
}

// waitForInput waits until conn has unread input, or an error.
func waitForInput(conn *net.TCPConn) {
	rc, err := conn.SyscallConn()
	if err != nil {
		return
	}
	rc.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
}

// uploadSize is the size in bytes of an upload that doesn't fit into the buffers on
// its way.
const uploadSize = 8 << 20

// upload returns a request with a body of size bytes, sent in chunks. It is a POST
// request, which must not run twice.
func upload(c *qt.C, url string, size int) *http.Request {
	body := io.MultiReader(bytes.NewReader(make([]byte, size))) // Hides the length.
	r, err := http.NewRequest("POST", url, body)
	c.Assert(err, qt.IsNil)
	r.Header.Set(mwhttp.HeaderService, string(service))
	r.Header.Set(mwhttp.HeaderTimeout, longTimeout)
	return r
}

// completeAnswer sends r and reports whether the caller gets an answer with status
// 200 that looks complete. It returns the size of its body in bytes.
func completeAnswer(r *http.Request) (n int64, ok bool) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	n, err = io.Copy(io.Discard, resp.Body)
	return n, err == nil && resp.StatusCode == http.StatusOK
}

// bufferingDialect lets nodes read answers without a length before they pass them on.
type bufferingDialect struct{ mwhttp.HeaderDialect }

// Reply returns the reply of HeaderDialect as one that may be read completely.
func (d bufferingDialect) Reply(resp *http.Response, c *mwcall.Call) mwhttp.Reply {
	r := d.HeaderDialect.Reply(resp, c)
	r.Bufferable = true
	return r
}

// way is how a call and its answer are passed on.
type way struct {
	name string
	// direct means that the call enters at the target's node, and not at another one.
	direct bool
	// buffered means that nodes read an answer without a length, up to a limit, before
	// they pass it on.
	buffered bool
}

// overEachWay runs f as a test with a new stack for each way of a call.
func overEachWay(t *testing.T, name string, f func(c *qt.C, s *stack, w way)) {
	for _, w := range []way{
		{"one hop", true, false}, {"two hops", false, false},
		{"one hop, buffered", true, true}, {"two hops, buffered", false, true},
	} {
		t.Run(name+", "+w.name, func(t *testing.T) {
			var opts []mwhttp.Option
			if w.buffered {
				opts = append(opts, mwhttp.WithDialect(bufferingDialect{}))
			}
			f(qt.New(t), newStack(t, http.NotFoundHandler(), opts...), w)
		})
	}
}

// A backend server resets the connection in the middle of a body that only the end of
// the connection ends. While the node sends the upload, its operating system may
// report the reset to the sending side only.
func TestResetInABodyWithoutALength(t *testing.T) {
	const uploads = 5
	tests := []struct {
		name string
		s    unframedServer
		size int // bytes of the upload
	}{
		{"short part, reset at once", unframedServer{size: 100, end: endByReset}, uploadSize},
		{"short part, reset later", unframedServer{size: 100, delay: 200 * time.Millisecond, end: endByReset}, uploadSize},
		{"short part, closed with unread input", unframedServer{size: 100, delay: 20 * time.Millisecond, end: endWithInput}, uploadSize},
		{"part over the buffer's size", unframedServer{size: 90 << 10, delay: 20 * time.Millisecond, end: endByReset}, uploadSize},
		{"long part", unframedServer{size: 300 << 10, delay: 200 * time.Millisecond, end: endByReset}, uploadSize},
		{"held upload", unframedServer{size: 100, delay: 20 * time.Millisecond, end: endByReset}, 60 << 10},
		{"upload read in full", unframedServer{size: 100, upload: readAll, delay: 20 * time.Millisecond, end: endByReset}, uploadSize},
	}
	for i := range tests {
		test := &tests[i]
		overEachWay(t, test.name, func(c *qt.C, s *stack, w way) {
			test.s.requests.Store(0)
			s.announce(c, accept(c, test.s.serve), 1)
			for range uploads {
				n, ok := completeAnswer(upload(c, s.url(w.direct), test.size))
				c.Check(ok, qt.IsFalse, qt.Commentf("a complete answer of %d bytes", n))
			}
			c.Check(test.s.requests.Load(), qt.Equals, int32(uploads))
		})
	}
}

// A body that ends with the connection is complete if its sender ended it, also
// before it has read the upload.
func TestEndOfABodyWithoutALength(t *testing.T) {
	const uploads = 3
	tests := []struct {
		name string
		s    unframedServer
		size int // bytes of the upload
	}{
		{"no upload", unframedServer{size: 300 << 10, end: endByClose}, 0},
		{"upload read in full", unframedServer{size: 100, upload: readAll, end: endByClose}, uploadSize},
		{"held upload read in full", unframedServer{size: 300 << 10, upload: readAll, end: endByClose}, 60 << 10},
		{"early answer, reading on", unframedServer{size: 100, end: endAndReadOn}, uploadSize},
		{"long early answer, reading on", unframedServer{size: 300 << 10, end: endAndReadOn}, uploadSize},
		{"early answer, later closed", unframedServer{size: 100, end: endAndClose}, uploadSize},
		{"late end, reading on", unframedServer{size: 90 << 10, delay: 200 * time.Millisecond, end: endAndReadOn}, uploadSize},
	}
	for i := range tests {
		test := &tests[i]
		overEachWay(t, test.name, func(c *qt.C, s *stack, w way) {
			s.announce(c, accept(c, test.s.serve), 1)
			for range uploads {
				n, ok := completeAnswer(upload(c, s.url(w.direct), test.size))
				c.Check(ok, qt.IsTrue)
				c.Check(n, qt.Equals, int64(test.s.size))
			}
		})
	}
}

// newEntryBefore returns the URL of an entry node that sends all calls to the server
// at ln, in place of the node of a target.
func newEntryBefore(t *testing.T, ln net.Listener) string {
	c := qt.New(t)
	zone := newZone(t)
	front, _ := newNode(c, zone)
	v, ok := clusters.Load(zone)
	c.Assert(ok, qt.IsTrue)
	v.(*cluster).targets = []mwcall.Target{{
		Node: "other", Peer: mwid.Address(ln.Addr().String()), Zone: zone, Service: service, Slots: 8, Connections: 8,
	}}
	return serve(t, front.Entry()).URL
}

// The address of a node that is gone may belong to any server.
func TestResetInABodyOfANode(t *testing.T) {
	const uploads = 5
	for _, size := range []int{60 << 10, uploadSize} {
		t.Run(fmt.Sprintf("upload of %d bytes", size), func(t *testing.T) {
			c := qt.New(t)
			node := &unframedServer{size: 300 << 10, delay: 200 * time.Millisecond, end: endByReset}
			url := newEntryBefore(t, accept(c, node.serve))
			for range uploads {
				n, ok := completeAnswer(upload(c, url, size))
				c.Check(ok, qt.IsFalse, qt.Commentf("a complete answer of %d bytes", n))
			}
			c.Check(node.requests.Load(), qt.Equals, int32(uploads))
		})
	}
}
