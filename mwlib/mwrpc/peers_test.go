package mwrpc_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwrpc"
)

// Echo is the service that the tests serve.
type Echo struct {
	hold chan struct{}
}

// Request is the message of Echo's methods.
type Request struct{ Text string }

// Answer is the answer of Echo's methods.
type Answer struct{ Text string }

// Say returns the text.
func (e *Echo) Say(r Request, a *Answer) error {
	a.Text = r.Text
	return nil
}

// Fail returns an error of its own.
func (e *Echo) Fail(Request, *Answer) error { return errors.New("no") }

// Hold returns when the test closes hold.
func (e *Echo) Hold(r Request, a *Answer) error {
	<-e.hold
	a.Text = "late"
	return nil
}

// serve serves an Echo and returns its address and the number of connections
// that were opened to it.
func serve(c *qt.C, e *Echo) (mwid.Address, *atomic.Int32) {
	p, closePeers := mwrpc.New()
	c.Cleanup(closePeers)
	c.Assert(p.Handle("Echo", e), qt.IsNil)
	var conns atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conns.Add(1)
		p.ServeHTTP(w, r)
	}))
	c.Cleanup(s.Close)
	return mwid.Address(strings.TrimPrefix(s.URL, "http://")), &conns
}

func newClient(c *qt.C) *mwrpc.Peers {
	p, closePeers := mwrpc.New()
	c.Cleanup(closePeers)
	return p
}

func TestCallsShareOneConnection(t *testing.T) {
	c := qt.New(t)
	addr, conns := serve(c, &Echo{})
	p := newClient(c)
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			var a Answer
			c.Check(p.Call(t.Context(), addr, "Echo.Say", Request{"hello"}, &a), qt.IsNil)
			c.Check(a.Text, qt.Equals, "hello")
		})
	}
	wg.Wait()
	c.Assert(conns.Load(), qt.Equals, int32(1))
}

func TestErrorOfTheMethodKeepsTheConnection(t *testing.T) {
	c := qt.New(t)
	addr, conns := serve(c, &Echo{})
	p := newClient(c)
	for range 3 {
		err := p.Call(t.Context(), addr, "Echo.Fail", Request{}, &Answer{})
		c.Assert(err, qt.ErrorMatches, `mwrpc: Echo\.Fail at .*: no`)
	}
	c.Assert(conns.Load(), qt.Equals, int32(1))
}

// A call that times out must close its connection, since that may be
// permanently silent. Its late answer must not change the result.
func TestTimeoutDropsTheConnection(t *testing.T) {
	c := qt.New(t)
	e := &Echo{hold: make(chan struct{})}
	addr, conns := serve(c, e)
	p := newClient(c)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var a Answer
	err := p.Call(ctx, addr, "Echo.Hold", Request{}, &a)
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.Unreachable)
	close(e.hold)
	c.Assert(p.Call(t.Context(), addr, "Echo.Say", Request{"again"}, &Answer{}), qt.IsNil)
	c.Assert(a.Text, qt.Equals, "")
	c.Assert(conns.Load(), qt.Equals, int32(2))
}

func TestNobodyThere(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.NotFoundHandler())
	addr := mwid.Address(strings.TrimPrefix(s.URL, "http://"))
	p := newClient(c)
	err := p.Call(t.Context(), addr, "Echo.Say", Request{}, &Answer{})
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.Unreachable)
	s.Close()
	err = p.Call(t.Context(), addr, "Echo.Say", Request{}, &Answer{})
	c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.Unreachable)
}
