package mwstorehttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwstorehttp"
)

// start serves h and returns a client of it.
func start(c *qt.C, h http.Handler) (*mwstorehttp.Client, string) {
	srv := httptest.NewServer(h)
	c.Cleanup(srv.Close)
	cl, end := mwstorehttp.NewClient(mwid.Address(strings.TrimPrefix(srv.URL, "http://")))
	c.Cleanup(end)
	return cl, srv.URL
}

func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s, end := mwfakestore.New()
	c.Cleanup(end)
	cl, _ := start(c, mwstorehttp.NewFakeHandler(s))
	t1 := mwstore.Txn{
		Checks: []mwstore.Check{{Key: "a"}},
		Writes: []mwstore.Write{{Key: "a", Value: []byte{0, 255}}, {Key: "b"}},
	}
	r, err := cl.Commit(ctx, t1)
	c.Assert(err, qt.IsNil)
	_, err = cl.Commit(ctx, t1)
	c.Assert(err, qt.ErrorMatches, `Conflict \(4001\): a`)
	row, err := cl.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(row, qt.DeepEquals, mwstore.Row{Key: "a", Value: []byte{0, 255}, Revision: r.Revision})
	rows, err := cl.Scan(ctx, "", "a", 9)
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 1)
	_, err = cl.Get(ctx, "none")
	c.Assert(mwcode.Of(err), qt.Equals, mwcode.NotFound)
	c.Assert(cl.PutObject(ctx, "o", []byte("whole")), qt.IsNil)
	b, err := cl.GetObject(ctx, "o")
	c.Assert(err, qt.IsNil)
	c.Assert(string(b), qt.Equals, "whole")
}

func TestAdmin(t *testing.T) {
	c := qt.New(t)
	s, end := mwfakestore.New()
	c.Cleanup(end)
	cl, url := start(c, mwstorehttp.NewFakeHandler(s))
	put := func(method, path, body string) {
		r, err := http.NewRequest(method, url+path, strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		res, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(res.StatusCode, qt.Equals, http.StatusOK)
	}
	tests := []struct {
		name, method, path, body string
		want                     mwcode.Code
	}{
		{"away", "PUT", "/admin/faults", `{"Away":true}`, mwcode.StoreAway},
		{"slow", "PUT", "/admin/faults", `{"Slow":true}`, mwcode.StoreSlow},
		{"well", "PUT", "/admin/faults", `{}`, mwcode.OK},
		{"lose one", "POST", "/admin/lose", `{"Commits":1}`, mwcode.StoreUnknown},
		{"one lost", "PUT", "/admin/faults", `{}`, mwcode.OK},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			put(test.method, test.path, test.body)
			_, err := cl.Commit(context.Background(), mwstore.Txn{})
			c.Assert(mwcode.Of(err), qt.Equals, test.want)
		})
	}
	put("GET", "/admin/usage", "")
}

// A closed connection after the request was read may have had any effect; a
// refused one had none. The request must not be sent a second time.
func TestBrokenConnections(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int32
	s, end := mwfakestore.New()
	c.Cleanup(end)
	h := mwstorehttp.NewHandler(s)
	cl, _ := start(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			h.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}))
	_, err := cl.Commit(context.Background(), mwstore.Txn{})
	c.Assert(err, qt.IsNil)
	_, err = cl.Commit(context.Background(), mwstore.Txn{})
	c.Assert(mwcode.Of(err), qt.Equals, mwcode.StoreUnknown)
	c.Assert(requests.Load(), qt.Equals, int32(2))
	_, err = cl.Get(context.Background(), "a")
	c.Assert(mwcode.Of(err), qt.Equals, mwcode.StoreAway)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	none, endNone := mwstorehttp.NewClient(mwid.Address(l.Addr().String()))
	defer endNone()
	_, err = none.Commit(context.Background(), mwstore.Txn{})
	c.Assert(mwcode.Of(err), qt.Equals, mwcode.StoreAway)
}

// A connection that goes silent must not keep the next request from a fresh
// one.
func TestSilentConnection(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int32
	var silent atomic.Value
	s, end := mwfakestore.New()
	c.Cleanup(end)
	h := mwstorehttp.NewHandler(s)
	_, url := start(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case requests.Add(1) == 1:
			silent.Store(r.RemoteAddr)
		case silent.Load() == r.RemoteAddr:
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		h.ServeHTTP(w, r)
	}))
	cl, endClient := mwstorehttp.NewClient(mwid.Address(strings.TrimPrefix(url, "http://")),
		mwstorehttp.WithTimeout(100*time.Millisecond))
	c.Cleanup(endClient)
	for _, want := range []mwcode.Code{mwcode.OK, mwcode.StoreUnknown, mwcode.OK} {
		_, err := cl.Commit(context.Background(), mwstore.Txn{})
		c.Assert(mwcode.Of(err), qt.Equals, want)
	}
}

func TestAnswersWithoutACode(t *testing.T) {
	tests := []struct {
		name, body string
		status     int
	}{
		{"gateway error", "upstream", http.StatusBadGateway},
		{"unavailable without a code", "{}", http.StatusServiceUnavailable},
		{"code that does not fit", `{"Code":4001}`, http.StatusServiceUnavailable},
		{"broken success", `{"Revision":`, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cl, _ := start(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			_, err := cl.Commit(context.Background(), mwstore.Txn{})
			c.Assert(mwcode.Of(err), qt.Equals, mwcode.StoreUnknown)
		})
	}
}
