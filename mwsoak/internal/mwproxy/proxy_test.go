package mwproxy_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwsoak/internal/mwproxy"
)

// newEcho starts an echo server and a proxy to it.
func newEcho(c *qt.C) *mwproxy.Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	p, closeProxy, err := mwproxy.New(ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(closeProxy)
	return p
}

func dial(c *qt.C, p *mwproxy.Proxy) net.Conn {
	conn, err := net.Dial("tcp", p.Address())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends s and returns the response, which has the same length.
func echo(c *qt.C, conn net.Conn, s string) string {
	_, err := io.WriteString(conn, s)
	c.Assert(err, qt.IsNil)
	b := make([]byte, len(s))
	_, err = io.ReadFull(conn, b)
	c.Assert(err, qt.IsNil)
	return string(b)
}

// receivesNothing reports whether no byte arrives on conn within 50 ms.
func receivesNothing(c *qt.C, conn net.Conn) bool {
	c.Assert(conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	defer conn.SetReadDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func TestCutHoldsBytesUp(t *testing.T) {
	for _, x := range []struct {
		name       string
		directions []mwproxy.Direction
	}{
		{"forth", []mwproxy.Direction{mwproxy.ToServer}},
		{"back", []mwproxy.Direction{mwproxy.ToClient}},
		{"both", []mwproxy.Direction{mwproxy.ToServer, mwproxy.ToClient}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			p := newEcho(c)
			conn := dial(c, p)
			c.Assert(echo(c, conn, "before"), qt.Equals, "before")
			heal := p.Cut(x.directions...)
			_, err := io.WriteString(conn, "held")
			c.Assert(err, qt.IsNil)
			c.Check(receivesNothing(c, conn), qt.IsTrue)
			heal()
			b := make([]byte, 4)
			_, err = io.ReadFull(conn, b)
			c.Check(err, qt.IsNil)
			c.Check(string(b), qt.Equals, "held")
		})
	}
}

func TestSilenceIsForGood(t *testing.T) {
	c := qt.New(t)
	p := newEcho(c)
	old := dial(c, p)
	c.Assert(echo(c, old, "before"), qt.Equals, "before")
	p.Silence()
	_, err := io.WriteString(old, "lost")
	c.Assert(err, qt.IsNil)
	c.Check(receivesNothing(c, old), qt.IsTrue)
	c.Check(echo(c, dial(c, p), "new"), qt.Equals, "new")
}

func TestReset(t *testing.T) {
	c := qt.New(t)
	p := newEcho(c)
	conn := dial(c, p)
	c.Assert(echo(c, conn, "before"), qt.Equals, "before")
	p.Reset()
	_, err := conn.Read(make([]byte, 1))
	c.Check(err, qt.IsNotNil)
	c.Check(echo(c, dial(c, p), "new"), qt.Equals, "new")
}

func TestDelayEnds(t *testing.T) {
	c := qt.New(t)
	p := newEcho(c)
	conn := dial(c, p)
	heal := p.Delay(20 * time.Millisecond)
	begin := time.Now()
	c.Check(echo(c, conn, "slow"), qt.Equals, "slow")
	c.Check(time.Since(begin) >= 40*time.Millisecond, qt.IsTrue)
	heal()
	c.Check(echo(c, conn, "fast"), qt.Equals, "fast")
}
