package mwconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// ClientConn is a connection to a server that may answer while the request is still
// being written. Its Read returns io.EOF only if the server ended its direction of
// the connection, which is what completes an answer without a length.
//
// An operating system reports an error of a connection once. If a Write gets it, as
// when the server resets the connection, later reads return the bytes that have
// arrived and then io.EOF.
type ClientConn struct {
	net.Conn
	mu       sync.Mutex // held while writing
	writeErr error      // first error of a Write
}

// NewClientConn returns a ClientConn over c.
func NewClientConn(c net.Conn) *ClientConn { return &ClientConn{Conn: c} }

// Write writes p.
func (c *ClientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// ReadFrom writes what it reads from r, so that a bufio.Writer need not pass long
// bodies on in pieces of its size.
func (c *ClientConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read reads from the connection. At the end it returns the error of a Write in
// place of io.EOF, unless that error shows that the end came first. It fails a Write
// that is in progress at that time.
func (c *ClientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if werr := c.endWrites(); werr != nil && !followsEnd(werr) {
		err = werr
	}
	return n, err
}

// endWrites ends the Write in progress, and fails all later ones. It returns the
// first error of a Write, including that of the one in progress.
func (c *ClientConn) endWrites() error {
	c.Conn.SetWriteDeadline(past)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// followsEnd reports whether err, the error of a Write, leaves no doubt that the end
// of the connection's other direction was sent by the server: EPIPE is the error for
// a reset after that end, and the deadline is that of endWrites.
func followsEnd(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded)
}
