package mwconn_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"mustardwheel.example/mwlib/mwconn"
)

// newClientPair returns a connection over loopback: its client side and its server
// side.
func newClientPair(c *qt.C) (*mwconn.ClientConn, *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	server, err := ln.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { client.Close(); server.Close() })
	return mwconn.NewClientConn(client), server.(*net.TCPConn)
}

// writeUntilError writes to w until that fails, and returns a channel with the error.
func writeUntilError(w io.Writer) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				done <- err
				return
			}
		}
	}()
	return done
}

// waitForInput waits until conn has unread input, or an error.
func waitForInput(c *qt.C, conn *net.TCPConn) {
	rc, err := conn.SyscallConn()
	c.Assert(err, qt.IsNil)
	err = rc.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(err, unix.EAGAIN)
	})
	c.Assert(err, qt.IsNil)
}

// The connection ends while a request is written to it. The writing side learns of
// the end before the other side reads.
func TestEndDuringAWrite(t *testing.T) {
	const part = "part"
	tests := []struct {
		name     string
		end      func(*net.TCPConn)
		writeErr error
		complete bool
	}{
		{"reset", func(s *net.TCPConn) { s.SetLinger(0); s.Close() }, syscall.ECONNRESET, false},
		{"closed with unread input", func(s *net.TCPConn) { s.Close() }, syscall.ECONNRESET, false},
		{"end of the answer, then reset", func(s *net.TCPConn) { s.CloseWrite(); s.Close() }, syscall.EPIPE, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			client, server := newClientPair(c)
			done := writeUntilError(client)
			waitForInput(c, server) // The write is in progress.
			_, err := io.WriteString(server, part)
			c.Assert(err, qt.IsNil)
			test.end(server)
			c.Assert(<-done, qt.ErrorIs, test.writeErr)
			got, err := io.ReadAll(client)
			c.Check(string(got), qt.Equals, part)
			c.Check(err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
		})
	}
}

// A server that ends its direction and reads nothing blocks the write. The answer is
// complete, and the write ends with it.
func TestEndOfTheAnswerEndsTheWrite(t *testing.T) {
	c := qt.New(t)
	client, server := newClientPair(c)
	done := writeUntilError(client)
	_, err := io.WriteString(server, "answer")
	c.Assert(err, qt.IsNil)
	c.Assert(server.CloseWrite(), qt.IsNil)
	got, err := io.ReadAll(client)
	c.Check(string(got), qt.Equals, "answer")
	c.Check(err, qt.IsNil)
	c.Check(<-done, qt.ErrorIs, os.ErrDeadlineExceeded)
}

// After the request was written, only reads get the errors of the connection.
func TestEndAfterTheRequest(t *testing.T) {
	for _, reset := range []bool{false, true} {
		c := qt.New(t)
		client, server := newClientPair(c)
		_, err := io.WriteString(client, "request")
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(server, make([]byte, len("request")))
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(server, "answer")
		c.Assert(err, qt.IsNil)
		if reset {
			c.Assert(server.SetLinger(0), qt.IsNil)
		}
		c.Assert(server.Close(), qt.IsNil)
		got, err := io.ReadAll(client)
		c.Check(string(got), qt.Equals, "answer")
		c.Check(err != nil, qt.Equals, reset, qt.Commentf("%v", err))
	}
}
