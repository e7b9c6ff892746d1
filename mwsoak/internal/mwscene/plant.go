package mwscene

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"mustardwheel.example/mwsoak/internal/mwcheck"
)

// plant puts a relay before the node that breaks the promise that the run is
// to break, so that a soak which misses it shows. Drain needs no relay: the
// node is not told that its backend server leaves.
func (n *node) plant() error {
	var h http.Handler
	r := &relay{to: n.front, client: newClient(), idle: func() bool { return !n.s.loaded.Load() }}
	switch n.s.cfg.Plant {
	case mwcheck.Once:
		h = http.HandlerFunc(r.twice)
	case mwcheck.Refusal:
		h = http.HandlerFunc(r.lie)
	case mwcheck.Whole:
		h = http.HandlerFunc(r.spoil)
	case mwcheck.Forward:
		h = http.HandlerFunc(r.goBack)
	default:
		return nil
	}
	srv := httptest.NewServer(h)
	n.front = strings.TrimPrefix(srv.URL, "http://")
	n.ends = append(n.ends, func() {
		srv.CloseClientConnections()
		srv.Close()
		r.client.CloseIdleConnections()
	})
	return nil
}

// relay passes requests on, all but faithfully.
type relay struct {
	to     string
	client *http.Client
	idle   func() bool // idle tells that the load has not begun.

	mu     sync.Mutex
	newest string // newest is the path of the latest version that was served.
}

// send passes r on with a path and returns the answer.
func (x *relay) send(r *http.Request, path string, body []byte) (*http.Response, []byte, error) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+x.to+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	out.URL.RawQuery, out.Host, out.Header = r.URL.RawQuery, r.Host, r.Header.Clone()
	resp, err := x.client.Do(out)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, b, err
}

// pass passes r on and writes the answer, changed by f.
func (x *relay) pass(w http.ResponseWriter, r *http.Request, path string, f func(status int, body []byte) (int, []byte)) {
	if x.idle() {
		f = same
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	resp, b, err := x.send(r, path, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	status, b := f(resp.StatusCode, b)
	if status == resp.StatusCode {
		maps.Copy(w.Header(), resp.Header)
		w.Header().Del("Content-Length")
	}
	w.WriteHeader(status)
	w.Write(b)
}

func same(status int, body []byte) (int, []byte) { return status, body }

// twice sends each order a second time.
func (x *relay) twice(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && !x.idle() {
		if _, _, err := x.send(r, r.URL.Path, nil); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	x.pass(w, r, r.URL.Path, same)
}

// lie says of orders that they have not run.
func (x *relay) lie(w http.ResponseWriter, r *http.Request) {
	x.pass(w, r, r.URL.Path, func(status int, b []byte) (int, []byte) {
		if r.Method == http.MethodPost {
			return http.StatusServiceUnavailable, nil
		}
		return status, b
	})
}

// spoil cuts the end of an answer off and makes the rest look whole.
func (x *relay) spoil(w http.ResponseWriter, r *http.Request) {
	x.pass(w, r, r.URL.Path, func(status int, b []byte) (int, []byte) { return status, b[:len(b)/2] })
}

// goBack serves the routes of older configurations by the newest one.
func (x *relay) goBack(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	version, id, ok := strings.Cut(strings.TrimPrefix(path, "/v"), "/")
	x.mu.Lock()
	if ok && strings.HasPrefix(path, "/v") && x.newest != "" {
		path = "/v" + x.newest + "/" + id
	}
	x.mu.Unlock()
	x.pass(w, r, path, func(status int, b []byte) (int, []byte) {
		if status == http.StatusOK && ok && path == r.URL.Path {
			x.mu.Lock()
			x.newest = version
			x.mu.Unlock()
		}
		if status == http.StatusNotFound {
			x.mu.Lock()
			x.newest = ""
			x.mu.Unlock()
		}
		return status, b
	})
}
