package mwhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
)

// stragglerServer is a backend server that never answers requests for
// "/straggler". It answers the requests for "/together" of one round only after
// all of them have arrived.
type stragglerServer struct {
	opened  atomic.Int32 // connections opened so far
	arrived chan struct{}

	mu    sync.Mutex
	round *sync.WaitGroup
}

func (b *stragglerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/straggler":
		b.arrived <- struct{}{}
		<-r.Context().Done()
		return
	case "/together":
		b.mu.Lock()
		round := b.round
		b.mu.Unlock()
		round.Done()
		round.Wait()
	}
	io.WriteString(w, "ok")
}

// callConcurrently makes n calls that are at the backend server at the same
// time.
func (b *stragglerServer) callConcurrently(c *qt.C, s *stack, n int) {
	b.mu.Lock()
	b.round = new(sync.WaitGroup)
	b.round.Add(n)
	b.mu.Unlock()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			resp, _ := do(c, s.request(c, "POST", "/together", nil))
			c.Check(code(resp), qt.Equals, "")
		})
	}
	wg.Wait()
}

// newStragglerServer starts a stragglerServer and a stack, and announces the
// server at the node of the stack's target.
func newStragglerServer(t *testing.T, c *qt.C) (*stragglerServer, *stack) {
	b := &stragglerServer{arrived: make(chan struct{}, 1)}
	s := newStack(t, http.NotFoundHandler())
	srv := httptest.NewUnstartedServer(b)
	srv.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			b.opened.Add(1)
		}
	}
	srv.Start()
	c.Cleanup(srv.Close)
	c.Assert(s.target.Announce(mwcall.Announcement{
		Service: service, Address: mwid.Address(srv.Listener.Addr().String()),
		Slots: 16, Connections: 16, TTL: mwkernel.MaxTTL,
	}), qt.IsNil)
	return b, s
}

// concurrentCalls is the number of connections that the tests below open first.
const concurrentCalls = 4

// A caller that disconnects must cost only its own connection.
func TestCallerThatLeavesKeepsConnections(t *testing.T) {
	c := qt.New(t)
	b, s := newStragglerServer(t, c)
	b.callConcurrently(c, s, concurrentCalls)
	c.Assert(b.opened.Load(), qt.Equals, int32(concurrentCalls))

	ctx, leave := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		resp, err := http.DefaultClient.Do(s.request(c, "POST", "/straggler", nil).WithContext(ctx))
		c.Check(err, qt.IsNotNil)
		if err == nil {
			resp.Body.Close()
		}
	})
	<-b.arrived
	leave()
	wg.Wait()
	b.callConcurrently(c, s, concurrentCalls)
	c.Check(b.opened.Load() <= concurrentCalls+1, qt.IsTrue, qt.Commentf("%d opened", b.opened.Load()))
}

// A call that times out must not close connections that have answered in the
// meantime.
func TestStragglerKeepsConnectionsThatAnswer(t *testing.T) {
	c := qt.New(t)
	b, s := newStragglerServer(t, c)
	b.callConcurrently(c, s, concurrentCalls)

	var wg sync.WaitGroup
	wg.Go(func() {
		r := s.request(c, "POST", "/straggler", nil)
		r.Header.Set(mwhttp.HeaderTimeout, "500ms")
		resp, _ := do(c, r)
		c.Check(code(resp), qt.Equals, want(mwcode.Silent))
	})
	<-b.arrived
	b.callConcurrently(c, s, concurrentCalls)
	c.Assert(b.opened.Load(), qt.Equals, int32(concurrentCalls+1))
	wg.Wait()
	b.callConcurrently(c, s, concurrentCalls)
	c.Check(b.opened.Load(), qt.Equals, int32(concurrentCalls+1))
}
