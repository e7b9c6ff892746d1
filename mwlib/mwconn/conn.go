// Package mwconn bounds how long the connections of callers may take for a
// header or stay idle. These limits come with the configuration, while
// net/http takes its own ones when a server starts; so each connection puts
// the limits in force in the place of the server's.
package mwconn

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Limits bound one connection; a limit of 0 leaves the server's own in place.
type Limits struct {
	// Header is the longest time from a request's first byte to the end of
	// its header.
	Header time.Duration
	// Idle is the longest time between two requests.
	Idle time.Duration
}

// Listener is a net.Listener whose connections keep to limits that change.
// The server that uses it calls NoteState for each change of their state.
type Listener struct {
	net.Listener
	limits func() Limits
}

// NewListener returns a Listener over l. It calls limits, which must not
// block, whenever a limit begins to count.
func NewListener(l net.Listener, limits func() Limits) *Listener { return &Listener{l, limits} }

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits}, nil
}

// phase tells which deadline the server sets next.
type phase int32

// Phases of a connection, which starts in awaitHeader.
const (
	awaitHeader  phase = iota // The next deadline is that of a header.
	awaitRequest              // The next deadline is that of an idle connection.
	inRequest                 // The handler sets deadlines itself.
)

// conn is one connection of a caller.
type conn struct {
	net.Conn
	limits func() Limits
	phase  atomic.Int32
}

// SetReadDeadline puts the limit in force in the place of t, which is the
// server's own: first the one of an idle connection, then the one of the next
// header.
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

// CloseWrite closes the sending side, where the connection below can. The
// server needs it to end a connection without losing its last answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// NoteState is the ConnState hook of a server with a Listener.
func NoteState(c net.Conn, s http.ConnState) {
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
