package main_test

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// The tests of this file start nodes with little memory or few descriptors and
// send them what clients without good intent may send. They check that the
// processes live, that they stay within their limits, and that an ordinary call
// is answered. check.sh runs them one at a time, after all other tests.

const (
	// crowdMemory is the memory of each node.
	crowdMemory = 64 * mwunit.MB
	// stalledWrite is the time after which a client that can't write gives up.
	stalledWrite = 5 * time.Second
)

// crowd is a group of connections that send the same bytes.
type crowd struct {
	name    string
	conns   int
	rounds  int // requests that each connection sends
	payload func(w io.Writer) error
	// answered means that a client reads an answer after each request. Otherwise it
	// leaves the connection open until the crowd ends.
	answered bool
	// listener returns the address to which the crowd connects; nil means that of the
	// entry listener.
	listener func(*node) mwid.Address
}

// address returns the address at n to which the crowd connects.
func (x crowd) address(n *node) mwid.Address {
	if x.listener == nil {
		return n.entry
	}
	return x.listener(n)
}

// endless returns a payload that writes start and then s over and over, up to 4 MB
// in total.
func endless(start, s string) func(io.Writer) error {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, start); err != nil {
			return err
		}
		piece := strings.Repeat(s, 1+16<<10/len(s))
		for sent := 0; sent < 4<<20; sent += len(piece) {
			if _, err := io.WriteString(w, piece); err != nil {
				return err
			}
		}
		return nil
	}
}

// longCall is a call that stays in progress for longTime.
const (
	longCall = "GET /long HTTP/1.1\r\nHost: a\r\nMw-Service: auftrag\r\n\r\n"
	longTime = "5s"
)

// memoryCrowds are the crowds that try to fill the memory of a node.
var memoryCrowds = []crowd{{
	name: "whole requests of short lines", conns: 200, rounds: 4, answered: true,
	payload: text(shortLines(getStart, headBytes) + "\r\n"),
}, {
	name: "whole requests of repeated names", conns: 200, rounds: 4, answered: true,
	payload: text(oddLines(getStart, headBytes) + "\r\n"),
}, {
	name: "whole heads without the body", conns: 200, rounds: 1,
	payload: text(shortLines(postStart+"Content-Length: 1000\r\n", headBytes) + "\r\n"),
}, {
	name: "heads that do not end", conns: 1000, rounds: 1,
	payload: text(shortLines(getStart, 16_000)),
}, {
	name: "heads that do not end, at the peer listener", conns: 1000, rounds: 1,
	payload:  text(shortLines(getStart, 16_000)),
	listener: func(n *node) mwid.Address { return n.peer },
}, {
	name: "heads that do not end, at the admin listener", conns: 1000, rounds: 1,
	payload:  text(shortLines(getStart, 16_000)),
	listener: func(n *node) mwid.Address { return n.admin },
}, {
	name: "heads that were sent together with a request", conns: 1000, rounds: 1,
	payload: text(getStart + "\r\n" + shortLines(getStart, 4_000)),
}, {
	name: "bodies that do not end", conns: 1000, rounds: 1,
	payload: text(postStart + "Content-Length: 65536\r\n\r\n" + strings.Repeat("b", 65_000)),
}, {
	name: "trailers of short lines", conns: 1000, rounds: 1, answered: true,
	payload: text(postStart + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + shortLines("", 3_900) + "\r\n"),
}, {
	name: "bytes behind a call in progress", conns: 1000, rounds: 1,
	payload: text(longCall + strings.Repeat("b", 1<<20)),
}, {
	name: "lines without end", conns: 50, rounds: 1, payload: endless(getStart, "a: b\r\n"),
}, {
	name: "one line without end", conns: 50, rounds: 1, payload: endless(getStart+"a: ", "b"),
}, {
	name: "a path without end", conns: 50, rounds: 1, payload: endless("GET /", "a"),
}, {
	name: "empty lines without end", conns: 50, rounds: 1, payload: endless("", "\r\n"),
}, {
	name: "a chunk extension without end", conns: 50, rounds: 1,
	payload: endless(postStart+"Transfer-Encoding: chunked\r\n\r\n1;", "a"),
}, {
	name: "trailers without end", conns: 50, rounds: 1,
	payload: endless(postStart+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"),
}}

func TestCrowdMemory(t *testing.T) {
	for _, x := range memoryCrowds {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := newCrowdedSystem(c, withNodeArgs("--memory", strconv.Itoa(int(crowdMemory/mwunit.MB))))
			entry := s.nodes[0]
			stopMeasuring := maximum(func() mwunit.Bytes { return unread(c, x.address(entry)) })
			disperse := x.gather(c, x.address(entry))
			eventually(c, "an answer while the crowd is connected", func() bool {
				return entry.do(read).status == http.StatusOK
			})
			disperse()
			eventually(c, "an answer after the crowd has left", func() bool {
				return entry.do(read).status == http.StatusOK
			})
			for _, n := range s.nodes {
				c.Check(n.ended(), qt.IsFalse, qt.Commentf("node in %s", n.zone))
				c.Check(n.peakMemory(c) <= crowdMemory, qt.IsTrue,
					qt.Commentf("peak of the node in %s: %d MB", n.zone, n.peakMemory(c)/mwunit.MB))
			}
			buffered := stopMeasuring()
			c.Logf("peak of the entry node: %d MB, and %d MB unread", entry.peakMemory(c)/mwunit.MB, buffered/mwunit.MB)
			c.Check(entry.peakMemory(c)+buffered <= crowdMemory, qt.IsTrue,
				qt.Commentf("with %d MB in the buffers of the operating system", buffered/mwunit.MB))
		})
	}
}

const (
	// crowdDescriptors is the maximum number of open descriptors of each node.
	crowdDescriptors = 400
	// fileDescriptors is the part of the descriptors that the platform reserves for
	// files. A node's sockets share the others.
	fileDescriptors = 200
)

// Connections on which nothing is sent, or only a part of a head, must not use the
// descriptors that ordinary callers and calls to other nodes need.
func TestCrowdDescriptors(t *testing.T) {
	for _, x := range []crowd{
		{name: "silent connections", conns: 500, rounds: 1, payload: text("")},
		{name: "heads in part", conns: 500, rounds: 1, payload: text(getStart)},
		{name: "idle connections", conns: 500, rounds: 1, payload: text(getStart + "\r\n")},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := newCrowdedSystem(c, withDescriptors(crowdDescriptors))
			entry := s.nodes[0]
			stopCounting := maximum(func() int { return entry.sockets(c) })
			disperse := x.gather(c, entry.entry)
			eventually(c, "an answer while the crowd is connected", func() bool {
				return entry.do(read).status == http.StatusOK
			})
			disperse()
			eventually(c, "an answer after the crowd has left", func() bool {
				return entry.do(read).status == http.StatusOK
			})
			n := stopCounting()
			c.Check(n <= crowdDescriptors-fileDescriptors, qt.IsTrue, qt.Commentf("%d sockets", n))
			for _, n := range s.nodes {
				c.Check(n.ended(), qt.IsFalse, qt.Commentf("node in %s", n.zone))
			}
		})
	}
}

// newCrowdedSystem runs a system of two nodes with a backend server at the second
// one. Reads are repeatable.
func newCrowdedSystem(c *qt.C, opts ...option) *system {
	s := newSystem(c, 2, opts...)
	s.startServer(s.nodes[1], "--slots", "1000", "--connections", "1000", "--long-time", longTime)
	s.apply()
	s.waitForTargets(1)
	return s
}

// gather connects the crowd to addr and waits until each client has sent its
// requests or has been refused. The returned function closes the connections.
func (x crowd) gather(c *qt.C, addr mwid.Address) func() {
	var wg sync.WaitGroup
	conns := make([]net.Conn, x.conns)
	for i := range conns {
		wg.Go(func() { conns[i] = x.send(addr) })
	}
	wg.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	}
}

// send sends the requests of one client and returns its connection. A client that
// is refused opens a new connection for its next request.
func (x crowd) send(addr mwid.Address) net.Conn {
	var conn net.Conn
	for range x.rounds {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", string(addr), stalledWrite); err != nil {
				return nil
			}
		}
		if !x.answered {
			conn.SetWriteDeadline(time.Now().Add(stalledWrite))
			_ = x.payload(conn) // The node may refuse the request.
			continue
		}
		if roundTrip(conn, x.payload) == 0 {
			conn.Close()
			conn = nil
		}
	}
	return conn
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// peakMemory returns the maximum resident memory of the process so far.
func (p *process) peakMemory(c *qt.C) mwunit.Bytes {
	c.Helper()
	b, err := os.ReadFile(filepath.Join(p.procDir(), "status"))
	c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(b)) {
		var kB mwunit.Bytes
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kB); err == nil {
			return kB << 10
		}
	}
	c.Fatal("the system does not report the peak of a process's memory")
	return 0
}

// maximum calls f until the returned function is called, which returns the maximum
// of the results.
func maximum[T cmp.Ordered](f func() T) func() T {
	stop, most := make(chan struct{}), make(chan T)
	go func() {
		t := time.NewTicker(pollPeriod)
		defer t.Stop()
		var v T
		for {
			select {
			case <-stop:
				most <- v
				return
			case <-t.C:
				v = max(v, f())
			}
		}
	}()
	return func() T {
		close(stop)
		return <-most
	}
}

// unread returns the number of bytes that the operating system has received on
// connections to addr and that their process has not read.
func unread(c *qt.C, addr mwid.Address) mwunit.Bytes {
	b, err := os.ReadFile("/proc/net/tcp")
	c.Check(err, qt.IsNil)
	port := netip.MustParseAddrPort(string(addr)).Port()
	var sum mwunit.Bytes
	for line := range strings.Lines(string(b)) {
		var n, state, sent int
		var localIP, remoteIP string
		var local, remote uint16
		var received mwunit.Bytes
		_, err := fmt.Sscanf(line, "%d: %8s:%4X %8s:%4X %X %X:%X", &n, &localIP, &local, &remoteIP, &remote, &state, &sent, &received)
		if err == nil && local == port {
			sum += received
		}
	}
	return sum
}

// sockets returns the number of open sockets of the process.
func (p *process) sockets(c *qt.C) int {
	c.Helper()
	dir := filepath.Join(p.procDir(), "fd")
	entries, err := os.ReadDir(dir)
	c.Check(err, qt.IsNil)
	n := 0
	for _, e := range entries {
		to, err := os.Readlink(filepath.Join(dir, e.Name()))
		if errors.Is(err, os.ErrNotExist) {
			continue // closed meanwhile
		}
		c.Check(err, qt.IsNil)
		if strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

func (p *process) procDir() string { return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid)) }
