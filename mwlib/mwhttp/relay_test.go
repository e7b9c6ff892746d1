package mwhttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwhttp"
)

func TestRelayKeepsHTTP(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		body    string
		header  http.Header
		backend http.HandlerFunc
		check   func(c *qt.C, resp *http.Response, body string)
	}{{
		name: "path and query arrive as sent", method: "GET",
		backend: func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.URL.RequestURI()) },
		check: func(c *qt.C, _ *http.Response, body string) {
			c.Assert(body, qt.Equals, "/a%2Fb?x=1&y")
		},
	}, {
		name: "a body arrives whole", method: "POST", body: strings.Repeat("x", 1<<20),
		backend: func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, n)
		},
		check: func(c *qt.C, _ *http.Response, body string) { c.Assert(body, qt.Equals, "1048576") },
	}, {
		name: "HEAD keeps the length", method: "HEAD",
		backend: func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Content-Length", "77") },
		check: func(c *qt.C, resp *http.Response, body string) {
			c.Assert(resp.ContentLength, qt.Equals, int64(77))
			c.Assert(body, qt.Equals, "")
		},
	}, {
		name: "headers of one connection are not passed on", method: "GET",
		header: http.Header{"Connection": {"X-Secret"}, "X-Secret": {"1"}, "X-Open": {"2"}},
		backend: func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, r.Header.Get("X-Secret"), r.Header.Get("X-Open"), r.Header.Get("Connection"))
			w.Header().Set("Keep-Alive", "1")
		},
		check: func(c *qt.C, resp *http.Response, body string) {
			c.Assert(body, qt.Equals, "2")
			c.Assert(resp.Header.Get("Keep-Alive"), qt.Equals, "")
		},
	}, {
		name: "trailers", method: "GET",
		backend: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Trailer", "X-Sum")
			io.WriteString(w, "body")
			w.Header().Set("X-Sum", "42")
		},
		check: func(c *qt.C, resp *http.Response, body string) {
			c.Assert(body, qt.Equals, "body")
			c.Assert(resp.Trailer.Get("X-Sum"), qt.Equals, "42")
		},
	}, {
		name: "headers of nodes are stripped on entry", method: "GET",
		header: http.Header{"Mw-Importance": {"100"}, "Mw-Budget": {"99"}, "Mw-Depth": {"3"}},
		backend: func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, r.Header.Get(mwhttp.HeaderBudget), r.Header.Get(mwhttp.HeaderImportance))
		},
		check: func(c *qt.C, resp *http.Response, body string) {
			c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
			c.Assert(body, qt.Equals, "")
		},
	}, {
		name: "upgrades are refused", method: "GET",
		header:  http.Header{"Connection": {"Upgrade"}, "Upgrade": {"websocket"}},
		backend: func(w http.ResponseWriter, r *http.Request) {},
		check: func(c *qt.C, resp *http.Response, _ string) {
			c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
			c.Assert(resp.Header.Get(mwhttp.HeaderCode), qt.Equals, fmt.Sprint(int(mwcode.BadRequest)))
			c.Assert(resp.Header.Get(mwhttp.HeaderOutcome), qt.Equals, "NotRun")
		},
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newStack(t, test.backend)
			r := s.request(c, test.method, "/a%2Fb?x=1&y", strings.NewReader(test.body))
			for k, vs := range test.header {
				r.Header[k] = vs
			}
			resp, body := do(c, r)
			test.check(c, resp, body)
		})
	}
}

func TestAnswersStreamAsTheyCome(t *testing.T) {
	c := qt.New(t)
	more := make(chan struct{})
	s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "first")
		http.NewResponseController(w).Flush()
		<-more
		io.WriteString(w, "second")
	}))
	resp, err := http.DefaultClient.Do(s.request(c, "GET", "/", nil))
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	buf := make([]byte, 5)
	_, err = io.ReadFull(resp.Body, buf)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buf), qt.Equals, "first")
	close(more)
	rest, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(rest), qt.Equals, "second")
}

func TestEarlyHintsArePassedOn(t *testing.T) {
	c := qt.New(t)
	s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		io.WriteString(w, "done")
	}))
	var link atomic.Value
	r := s.request(c, "GET", "/", nil)
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			link.Store(h.Get("Link"))
			return nil
		},
	}))
	_, body := do(c, r)
	c.Assert(body, qt.Equals, "done")
	c.Assert(link.Load(), qt.Equals, "</style.css>")
}

// A truncated answer must not look like a complete one, with and without a
// length.
func TestCutAnswerIsNeverClosedCleanly(t *testing.T) {
	for _, length := range []string{"", "1000"} {
		t.Run("length "+length, func(t *testing.T) {
			c := qt.New(t)
			s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				io.WriteString(w, "half")
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			resp, err := http.DefaultClient.Do(s.request(c, "GET", "/", nil))
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			if code(resp) == want(mwcode.ConnectionLost) {
				return // The connection broke before the head was passed on.
			}
			c.Assert(err, qt.IsNotNil)
		})
	}
}

func TestCallerThatLeavesCancelsRepeatableWork(t *testing.T) {
	c := qt.New(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	r := s.request(c, "GET", "/", nil).WithContext(ctx)
	go func() {
		<-started
		cancel()
	}()
	_, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNotNil)
	<-cancelled
}

func TestRequestBodyOverTheBufferIsAskedForAfterAdmission(t *testing.T) {
	c := qt.New(t)
	var hits atomic.Int32
	s := newStack(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { hits.Add(1) }))
	c.Assert(s.target.Drain(t.Context()), qt.IsNil)
	read := &countingReader{Reader: strings.NewReader(strings.Repeat("x", 1<<20))}
	r := s.request(c, "POST", "/", read)
	r.ContentLength = 1 << 20
	r.Header.Set("Expect", "100-continue")
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: 1 << 40}}
	resp, err := client.Do(r)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(resp.Header.Get(mwhttp.HeaderOutcome), qt.Equals, "NotRun")
	c.Assert(read.n.Load(), qt.Equals, int64(0))
	c.Assert(hits.Load(), qt.Equals, int32(0))
}

// countingReader counts the bytes read.
type countingReader struct {
	io.Reader
	n atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}
