// Package mwconn bounds what the connections of a listener may use: how long one
// may take to send a head, how long it may stay idle, how many are open and how
// much memory the heads that they send take.
//
// The configuration sets the time limits and can change them at any time, while
// net/http reads its own timeouts when a server starts. Each connection therefore
// replaces the read deadlines that the server sets by those of the limits in force.
// net/http also has no limit on the memory of all heads together. Each connection
// therefore charges the bytes of a head to a budget before the server parses them.
package mwconn

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwunit"
)

// Limits are the limits of one connection; 0 leaves the server's own in place.
type Limits struct {
	// Header is the maximum time from the first byte of a request to the end
	// of its header. For the first request of a connection, the time starts
	// when the server begins to wait for it.
	Header time.Duration
	// Idle is the maximum time between two requests.
	Idle time.Duration
}

// Memory of a head, in bytes. A head of short lines takes many times its size: for
// each line, the maps of the received and of the forwarded headers have an entry,
// a slice and two strings.
const (
	memoryPerLine = 288
	memoryPerByte = 2
)

// HeadMemory returns the memory that a head of n bytes in the given number of lines
// takes from its arrival to the end of its request, including the copy that is
// forwarded.
func HeadMemory(n, lines int) mwunit.Bytes {
	return mwunit.Bytes(memoryPerByte*n + memoryPerLine*lines)
}

// maxReadAhead is the size of the server's read buffer, which may hold bytes of the
// next request.
const maxReadAhead = 4 << 10

// phase is what a connection waits for.
type phase int32

// Phases of a connection, which starts in awaitHeader.
const (
	awaitHeader  phase = iota // The next deadline is for a header.
	awaitRequest              // The next deadline is for an idle connection.
	inRequest                 // The handler sets deadlines itself.
	hijacked                  // The connection is no longer the server's.
)

// waits reports whether a connection in phase p waits for a head or its end.
func (p phase) waits() bool { return p == awaitHeader || p == awaitRequest }

// conn is one connection of a listener.
type conn struct {
	net.Conn
	l       *Listener
	id      connID
	account *mwmemory.Account
	phase   atomic.Int32
	close   sync.Once

	waitsSince atomic.Int64 // Unix time in nanoseconds
	served     atomic.Bool  // whether the connection has had a request

	// The server reads from the connection and calls connState from one goroutine
	// at a time.
	headBytes int          // bytes received in the present head
	next      mwunit.Bytes // memory for the part of the next head that the server may have buffered
	refused   bool         // whether the connection is ended, after which nothing is read
}

// Read reads from the connection and charges the memory that the bytes take if they
// belong to a head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch ph := phase(c.phase.Load()); {
	case ph == hijacked:
		return n, err
	case ph.waits():
		return c.chargeHead(p[:n], err)
	}
	return c.noteNext(p[:n], err)
}

// chargeHead charges p, a piece of a head whose read ended with err.
func (c *conn) chargeHead(p []byte, err error) (int, error) {
	switch {
	case c.refused:
		return 0, errRefused
	case c.account.Evicted():
		c.sendRefusal()
		return 0, errRefused
	case len(p) == 0:
		return 0, err
	}
	c.headBytes += len(p)
	if c.account.Charge(headMemoryOf(p)) != nil {
		c.sendRefusal()
		c.discard()
		return 0, errRefused
	}
	c.next = headMemoryOf(afterHead(p))
	return len(p), err
}

func headMemoryOf(p []byte) mwunit.Bytes { return HeadMemory(len(p), bytes.Count(p, []byte{'\n'})) }

// afterHead returns the part of p, a piece of a head, that may belong to the next
// head. It returns p if p does not show where the head ends.
func afterHead(p []byte) []byte {
	rest := p
	for i := bytes.IndexByte(rest, '\n'); i >= 0; i = bytes.IndexByte(rest, '\n') {
		rest = bytes.TrimPrefix(rest[i+1:], []byte{'\r'})
		if len(rest) > 0 && rest[0] == '\n' {
			return rest[1:]
		}
	}
	return p
}

// errRefused is the error of a read after a refusal was sent. The server answers
// other errors than those of deadlines with a status of its own.
var errRefused = os.ErrDeadlineExceeded

// noteNext notes how much of p, a piece received after the head, may belong to the
// next head. A piece that exceeds the server's read buffer is a part of the body. A
// single byte is read in addition to what is in that buffer, in order to learn of
// the end of the connection.
func (c *conn) noteNext(p []byte, err error) (int, error) {
	switch n := len(p); {
	case c.account.Evicted():
		return 0, mwmemory.ErrFull
	case n > maxReadAhead:
		c.next = 0
	case n > 1:
		c.next = headMemoryOf(p)
	case n == 1:
		c.next = min(c.next+headMemoryOf(p), HeadMemory(maxReadAhead, maxReadAhead))
	}
	return len(p), err
}

// refusalTimeout limits the time for sending a refusal.
const refusalTimeout = 100 * time.Millisecond

// sendRefusal answers a request of which only a part of the head was received. If
// nothing was, it sends nothing, since there may be no request.
func (c *conn) sendRefusal() {
	c.refused = true
	c.l.logLimit("connection ended: its memory or its place is needed", c)
	if c.headBytes == 0 {
		return
	}
	w := newRecorder()
	c.l.refuse.ServeHTTP(w, nil)
	c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_ = w.response().Write(c.Conn) // The client may have left; the connection is closed anyway.
}

// Limits on discarding the rest of a refused request. A connection that is closed
// with bytes to read is reset, and the client may lose the refusal.
const (
	discardTimeout = 250 * time.Millisecond
	maxDiscard     = 256 << 10 // bytes
)

// discard reads and discards the rest of a refused request.
func (c *conn) discard() {
	c.Conn.SetReadDeadline(time.Now().Add(discardTimeout))
	var buf [1 << 10]byte
	for total := 0; total < maxDiscard; {
		n, err := c.Conn.Read(buf[:])
		if err != nil {
			return
		}
		total += n
	}
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// wake ends a read in progress, and all later ones.
func (c *conn) wake() { c.Conn.SetReadDeadline(past) }

// SetReadDeadline replaces t, the server's own deadline, by that of the limit
// in force. After a request, the server first sets the deadline of an idle
// connection and then that of the next header.
func (c *conn) SetReadDeadline(t time.Time) error {
	var limit time.Duration
	switch phase(c.phase.Load()) {
	case awaitRequest:
		limit = c.l.limits().Idle
		c.phase.Store(int32(awaitHeader))
	case awaitHeader:
		limit = c.l.limits().Header
	}
	if limit > 0 && !t.IsZero() {
		t = time.Now().Add(limit)
	}
	err := c.Conn.SetReadDeadline(t)
	if c.account.Evicted() { // The deadline of wake may have been replaced.
		c.wake()
	}
	return err
}

// CloseWrite closes the sending side if the underlying connection supports it.
// The server needs it to close a connection without losing its last answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and frees its share of the limits.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.close.Do(func() {
		c.l.conns.Delete(c.id)
		c.account.Close()
		c.l.connClosed()
	})
	return err
}

// waitsBefore reports whether c should be closed rather than d.
func (c *conn) waitsBefore(d *conn) bool {
	if a, b := c.served.Load(), d.served.Load(); a != b {
		return b
	}
	return c.waitsSince.Load() < d.waitsSince.Load()
}

// startRequest is called when a whole head was received. It returns false if the
// request must be refused, since the connection was evicted.
func (c *conn) startRequest() bool {
	c.phase.Store(int32(inRequest))
	c.served.Store(true)
	return c.account.Pin()
}

// endRequest is called when the connection begins to wait for the next request, of
// which the server may hold a part already.
func (c *conn) endRequest() {
	c.headBytes = 0
	c.account.Reset(c.next)
	c.account.Unpin()
	c.waitsSince.Store(time.Now().UnixNano())
	c.phase.Store(int32(awaitRequest))
}

// connState is the ConnState hook of a server.
func connState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.phase.Store(int32(inRequest))
	case http.StateIdle:
		c.endRequest()
	case http.StateHijacked:
		c.phase.Store(int32(hijacked))
	}
}
