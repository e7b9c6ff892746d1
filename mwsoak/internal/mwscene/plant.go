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
	r := &faultyProxy{target: n.entryAddress, client: newClient(), inactive: func() bool { return !n.s.loadRunning.Load() }}
	switch n.s.cfg.Plant {
	case mwcheck.Once:
		h = http.HandlerFunc(r.duplicateOrders)
	case mwcheck.Refusal:
		h = http.HandlerFunc(r.denyOrders)
	case mwcheck.Whole:
		h = http.HandlerFunc(r.truncate)
	case mwcheck.Forward:
		h = http.HandlerFunc(r.serveStale)
	default:
		return nil
	}
	srv := httptest.NewServer(h)
	n.entryAddress = strings.TrimPrefix(srv.URL, "http://")
	n.cleanups = append(n.cleanups, func() {
		srv.CloseClientConnections()
		srv.Close()
		r.client.CloseIdleConnections()
	})
	return nil
}

// faultyProxy passes requests on, all but faithfully.
type faultyProxy struct {
	target   string
	client   *http.Client
	inactive func() bool // inactive tells that the load has not begun.

	mu            sync.Mutex
	newestVersion string // newestVersion is the path of the latest version that was served.
}

// send passes r on with a path and returns the answer.
func (x *faultyProxy) send(r *http.Request, path string, body []byte) (*http.Response, []byte, error) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+x.target+path, bytes.NewReader(body))
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

// forward passes r on and writes the answer, changed by f.
func (x *faultyProxy) forward(w http.ResponseWriter, r *http.Request, path string, f func(status int, body []byte) (int, []byte)) {
	if x.inactive() {
		f = unchanged
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

func unchanged(status int, body []byte) (int, []byte) { return status, body }

// duplicateOrders sends each order a second time.
func (x *faultyProxy) duplicateOrders(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && !x.inactive() {
		if _, _, err := x.send(r, r.URL.Path, nil); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	x.forward(w, r, r.URL.Path, unchanged)
}

// denyOrders says of orders that they have not run.
func (x *faultyProxy) denyOrders(w http.ResponseWriter, r *http.Request) {
	x.forward(w, r, r.URL.Path, func(status int, b []byte) (int, []byte) {
		if r.Method == http.MethodPost {
			return http.StatusServiceUnavailable, nil
		}
		return status, b
	})
}

// truncate cuts the end of an answer off and makes the rest look whole.
func (x *faultyProxy) truncate(w http.ResponseWriter, r *http.Request) {
	x.forward(w, r, r.URL.Path, func(status int, b []byte) (int, []byte) { return status, b[:len(b)/2] })
}

// serveStale serves the routes of older configurations by the newest one.
func (x *faultyProxy) serveStale(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	version, id, ok := strings.Cut(strings.TrimPrefix(path, "/v"), "/")
	x.mu.Lock()
	if ok && strings.HasPrefix(path, "/v") && x.newestVersion != "" {
		path = "/v" + x.newestVersion + "/" + id
	}
	x.mu.Unlock()
	x.forward(w, r, path, func(status int, b []byte) (int, []byte) {
		if status == http.StatusOK && ok && path == r.URL.Path {
			x.mu.Lock()
			x.newestVersion = version
			x.mu.Unlock()
		}
		if status == http.StatusNotFound {
			x.mu.Lock()
			x.newestVersion = ""
			x.mu.Unlock()
		}
		return status, b
	})
}
