// Package mwconn limits how long a caller's connection may take to send a
// header, and how long it may stay idle. The configuration sets these limits and
// can change them at any time, while net/http reads its own timeouts when a
// server starts. Each connection therefore replaces the read deadlines that the
// server sets by those of the limits in force.
package mwconn

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
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

// Listener is a net.Listener whose connections follow limits that can change.
// The server that uses it must call ConnState on each change of a connection's
// state.
type Listener struct {
	net.Listener
	limits func() Limits
}

// NewListener returns a Listener over l. Its connections call limits, which must
// not block, whenever the server sets a deadline for a header or an idle
// connection.
func NewListener(l net.Listener, limits func() Limits) *Listener { return &Listener{l, limits} }

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits}, nil
}

// phase identifies the deadline that the server sets next.
type phase int32

// Phases of a connection, which starts in awaitHeader.
const (
	awaitHeader  phase = iota // The next deadline is for a header.
	awaitRequest              // The next deadline is for an idle connection.
	inRequest                 // The handler sets deadlines itself.
)

// conn is one connection of a caller.
type conn struct {
	net.Conn
	limits func() Limits
	phase  atomic.Int32
}

// SetReadDeadline replaces t, the server's own deadline, by that of the limit
// in force. After a request, the server first sets the deadline of an idle
// connection and then that of the next header.
func (c *conn) SetReadDeadline(t time.Time) error {
	var limit time.Duration
	switch phase(c.phase.Load()) {
	case awaitRequest:
		limit = c.limits().Idle
		c.phase.Store(int32(awaitHeader))
	case awaitHeader:
		limit = c.limits().Header
	}
	if limit > 0 && !t.IsZero() {
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side if the underlying connection supports it.
// The server needs it to close a connection without losing its last answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// ConnState is the ConnState hook of a server that uses a Listener.
func ConnState(c net.Conn, s http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	l, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		l.phase.Store(int32(inRequest))
	case http.StateIdle:
		l.phase.Store(int32(awaitRequest))
	}
}
