package mwconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwunit"
)

// crowded is a server whose connections have limits. Its handler reads the body, and
// under the path /wait it answers only when release is closed.
type crowded struct {
	c       *qt.C
	net     *mwmemnet.Listener
	budget  *mwmemory.Budget
	release chan struct{}
}

func newCrowded(c *qt.C, opts ...mwconn.Option) *crowded {
	s := &crowded{c: c, net: mwmemnet.NewListener(), budget: mwmemory.NewBudget(headLimit), release: make(chan struct{})}
	srv := &http.Server{
		ReadHeaderTimeout: serverHeader, IdleTimeout: serverIdle, MaxHeaderBytes: 64 << 10,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if r.URL.Path == "/wait" {
				<-s.release
			}
		}),
	}
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	l := mwconn.NewListener(s.net, append([]mwconn.Option{
		mwconn.WithBudget(s.budget), mwconn.WithRefusal(refuse),
	}, opts...)...)
	l.Attach(srv)
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(l)
	}()
	c.Cleanup(func() { srv.Close(); <-done })
	return s
}

// headLimit is the budget for heads, room for a third of largeHead.
const headLimit = mwunit.MB

// client is one connection to the server.
type client struct {
	net.Conn
	c *qt.C
	r *bufio.Reader
}

func (s *crowded) dial() *client {
	conn, err := s.net.Dial(context.Background(), "", "")
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { conn.Close() })
	return &client{conn, s.c, bufio.NewReader(conn)}
}

// send writes text in the background and waits until the server waits for more, or
// has ended the connection.
func (x *client) send(text string) {
	go io.WriteString(x, text)
	synctest.Wait()
}

// status returns the status of the next answer, 0 if the connection has ended.
func (x *client) status() int {
	resp, err := http.ReadResponse(x.r, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// lines returns n bytes of short header lines.
func lines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%04x:\r\n", i)
	}
	return b.String()
}

const start = "GET / HTTP/1.1\r\nHost: a\r\n"

var largeHead = start + lines(60_000)

// Of the heads that do not fit into the budget together, the larger ones are
// refused, and an ordinary request is served.
func TestHeadsShareTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCrowded(c)
		var crowd []*client
		for range 50 {
			x := s.dial()
			x.send(start + lines(10_000))
			crowd = append(crowd, x)
		}
		c.Check(s.budget.Stats().Held <= headLimit, qt.IsTrue)
		refused := 0
		for _, x := range crowd {
			x.SetReadDeadline(time.Now().Add(time.Second))
			if x.status() == http.StatusServiceUnavailable {
				refused++
			}
		}
		c.Check(refused > 0 && refused < len(crowd), qt.IsTrue, qt.Commentf("%d refused", refused))
		x := s.dial()
		x.send(start + lines(200) + "\r\n")
		c.Check(x.status(), qt.Equals, http.StatusOK)
		for _, x := range crowd {
			x.Close()
		}
		synctest.Wait()
		c.Check(s.budget.Stats().Held, qt.Equals, mwunit.Bytes(0))
	})
}

func TestLargeHeadInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCrowded(c)
		x := s.dial()
		for range 3 {
			x.send(largeHead + "\r\n")
			c.Check(x.status(), qt.Equals, http.StatusOK)
			synctest.Wait()
			c.Check(s.budget.Stats().Held < 64<<10, qt.IsTrue, qt.Commentf("%d held", s.budget.Stats().Held))
		}
	})
}

// A request in progress keeps its memory; the head that would exceed the budget is
// refused in full, and the refusal is its only answer.
func TestRequestInProgressIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCrowded(c)
		first := s.dial()
		first.send(strings.Replace(largeHead, "GET /", "GET /wait", 1) + "\r\n")
		second := s.dial()
		second.send(largeHead + "\r\n")
		c.Check(second.status(), qt.Equals, http.StatusServiceUnavailable)
		c.Check(second.status(), qt.Equals, 0)
		close(s.release)
		c.Check(first.status(), qt.Equals, http.StatusOK)
	})
}

// A piece of the next head that arrived together with a request counts too.
func TestPipelinedHeadIsCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCrowded(c)
		x := s.dial()
		x.send(start + "\r\n" + start + lines(3_900))
		c.Check(x.status(), qt.Equals, http.StatusOK)
		synctest.Wait()
		c.Check(s.budget.Stats().Held > 64<<10, qt.IsTrue, qt.Commentf("%d held", s.budget.Stats().Held))
		x.send("\r\n")
		c.Check(x.status(), qt.Equals, http.StatusOK)
	})
}

// Beyond the maximum, a connection replaces the one that has waited the longest,
// first among those that have never had a request.
func TestMaxConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newCrowded(c, mwconn.WithMaxConns(3))
		idle := s.dial()
		idle.send(start + "\r\n")
		c.Check(idle.status(), qt.Equals, http.StatusOK)
		time.Sleep(time.Second)
		partial := s.dial()
		partial.send(start)
		time.Sleep(time.Second)
		silent := s.dial()
		time.Sleep(time.Second)

		busy := s.dial()
		busy.send(strings.Replace(start, "GET /", "GET /wait", 1) + "\r\n")
		c.Check(partial.status(), qt.Equals, http.StatusServiceUnavailable)
		c.Check(partial.status(), qt.Equals, 0)

		busy2 := s.dial()
		busy2.send(strings.Replace(start, "GET /", "GET /wait", 1) + "\r\n")
		c.Check(silent.status(), qt.Equals, 0)

		busy3 := s.dial()
		busy3.send(strings.Replace(start, "GET /", "GET /wait", 1) + "\r\n")
		c.Check(idle.status(), qt.Equals, 0)

		rejected := s.dial()
		c.Check(rejected.status(), qt.Equals, 0)
		close(s.release)
		for i, x := range []*client{busy, busy2, busy3} {
			c.Check(x.status(), qt.Equals, http.StatusOK, qt.Commentf("busy connection %d", i))
		}
		synctest.Wait()
		again := s.dial()
		again.send(start + "\r\n")
		c.Check(again.status(), qt.Equals, http.StatusOK)
	})
}
