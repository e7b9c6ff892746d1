package mwhttp_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwmemory"
)

// usedUp returns a budget that is used up by a request in progress.
func usedUp(c *qt.C) *mwmemory.Budget {
	b := mwmemory.NewBudget(1)
	a := b.Open(func() {})
	c.Assert(a.Charge(mwmemory.Allowance+1), qt.IsNil)
	c.Assert(a.Pin(), qt.IsTrue)
	return b
}

// serveWith serves a request with h on a connection with the account a.
func serveWith(a *mwmemory.Account, h http.Handler, body io.Reader) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/orders", body)
	r.Header.Set(mwhttp.HeaderService, string(service))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r.WithContext(mwmemory.NewContext(r.Context(), a)))
	return w
}

// While there is no memory, a large body is refused as not run, and it reaches no
// backend server. An ordinary one is still accepted.
func TestBodyWithoutMemory(t *testing.T) {
	c := qt.New(t)
	var ran atomic.Int64
	s := newStack(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	b := usedUp(c)
	for _, x := range []struct {
		name    string
		size    int
		refused bool
	}{{"ordinary", 4 << 10, false}, {"large", 60 << 10, true}} {
		a := b.Open(func() {})
		w := serveWith(a, s.entry.Config.Handler, strings.NewReader(strings.Repeat("b", x.size)))
		a.Close()
		if !x.refused {
			c.Check(w.Code, qt.Equals, http.StatusOK, qt.Commentf(x.name))
			continue
		}
		c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(w.Header().Get(mwhttp.HeaderCode), qt.Equals, strconv.Itoa(int(mwcode.MemoryFull)))
		c.Check(w.Header().Get(mwhttp.HeaderOutcome), qt.Equals, "NotRun")
		c.Check(w.Header().Get("Retry-After"), qt.Equals, "1")
	}
	c.Check(ran.Load(), qt.Equals, int64(1))
}

// Trailers count when the end of the body was read. Without memory for them the
// request is refused as not run.
func TestTrailersWithoutMemory(t *testing.T) {
	c := qt.New(t)
	var ran atomic.Int64
	s := newStack(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	trailer := make(http.Header)
	for i := range 500 {
		trailer.Set(fmt.Sprintf("%04x", i), "")
	}
	for _, x := range []struct {
		budget *mwmemory.Budget
		want   int
	}{{mwmemory.NewBudget(0), http.StatusOK}, {usedUp(c), http.StatusServiceUnavailable}} {
		r := httptest.NewRequest(http.MethodPost, "/orders", io.MultiReader(strings.NewReader("body")))
		r.Header.Set(mwhttp.HeaderService, string(service))
		r.Trailer = trailer
		w := httptest.NewRecorder()
		a := x.budget.Open(func() {})
		s.entry.Config.Handler.ServeHTTP(w, r.WithContext(mwmemory.NewContext(t.Context(), a)))
		c.Check(w.Code, qt.Equals, x.want)
	}
	c.Check(ran.Load(), qt.Equals, int64(1))
}

// evictingBody is a request body during which its connection is evicted.
type evictingBody struct {
	a    *mwmemory.Account
	sent bool
}

func (b *evictingBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, io.EOF
	}
	b.sent = true
	b.a.Evict()
	return copy(p, "body"), nil
}

func TestEvictedWhileReadingTheBody(t *testing.T) {
	c := qt.New(t)
	var ran atomic.Int64
	s := newStack(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	a := mwmemory.NewBudget(0).Open(func() {})
	w := serveWith(a, s.entry.Config.Handler, &evictingBody{a: a})
	c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(w.Header().Get(mwhttp.HeaderOutcome), qt.Equals, "NotRun")
	c.Check(ran.Load(), qt.Equals, int64(0))
}

// A call that has run is answered in full even if there is no memory to hold its
// answer.
func TestAnswerWithoutMemory(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{100, 30 << 10, 64 << 10, 200 << 10} {
		answer := strings.Repeat("a", size)
		s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, answer) }))
		a := usedUp(c).Open(func() {})
		w := serveWith(a, s.entry.Config.Handler, strings.NewReader("body"))
		c.Check(w.Code, qt.Equals, http.StatusOK)
		c.Check(w.Body.String() == answer, qt.IsTrue, qt.Commentf("answer of %d bytes", size))
	}
}

// An answer that breaks off in the bytes for which there is no memory is cut for the
// caller too.
func TestCutAnswerWithoutMemory(t *testing.T) {
	c := qt.New(t)
	for size := 1 << 10; size <= 16<<10; size += 500 {
		s := newStack(t, http.NotFoundHandler(), mwhttp.WithDialect(bufferingDialect{}))
		b := &fixedServer{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + strings.Repeat("a", size)}
		s.announce(c, accept(c, b.serve), 1)
		a := usedUp(c).Open(func() {})
		var w *httptest.ResponseRecorder
		aborted := isAborted(func() { w = serveWith(a, s.direct.Config.Handler, strings.NewReader("body")) })
		c.Check(aborted || w.Code == http.StatusBadGateway, qt.IsTrue, qt.Commentf("%d bytes", size))
	}
}

// isAborted calls f and reports whether it aborts its connection.
func isAborted(f func()) (aborted bool) {
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	f()
	return false
}

// A call in progress must not be evicted.
func TestCallInProgressIsPinned(t *testing.T) {
	c := qt.New(t)
	a := mwmemory.NewBudget(0).Open(func() {})
	s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c.Check(a.Evict(), qt.IsFalse)
	}))
	w := serveWith(a, s.entry.Config.Handler, strings.NewReader("body"))
	c.Check(w.Code, qt.Equals, http.StatusOK)
}

// The refusal of a request without a head must say that nothing has run, to callers
// and to other nodes.
func TestRefusalWithoutARequest(t *testing.T) {
	c := qt.New(t)
	front, _ := newNode(c, newZone(t))
	for _, o := range []mwcall.Origin{mwcall.Entry, mwcall.Local, mwcall.Peer} {
		w := httptest.NewRecorder()
		front.Refusal(o).ServeHTTP(w, nil)
		c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Check(w.Header().Get(mwhttp.HeaderOutcome), qt.Equals, "NotRun")
		c.Check(w.Header().Get(mwhttp.HeaderWait) != "", qt.Equals, o == mwcall.Peer)
	}
}
