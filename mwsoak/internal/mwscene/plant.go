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

// startFaultyProxy puts an HTTP proxy in front of the node. The proxy breaks the
// guarantee Config.Plant, to test that the soak detects the violation. For Drain
// it starts no proxy: replaceBackend breaks that guarantee by not telling the
// node that its backend server leaves.
func (n *node) startFaultyProxy() error {
	var h http.Handler
	r := &faultyProxy{target: n.entryAddress, client: newClient(), inactive: func() bool { return !n.s.injecting.Load() }}
	switch n.s.cfg.Plant {
	case mwcheck.Once:
		h = http.HandlerFunc(r.duplicateOrders)
	case mwcheck.Refusal:
		h = http.HandlerFunc(r.denyOrders)
	case mwcheck.Whole:
		h = http.HandlerFunc(r.truncate)
	case mwcheck.Forward:
		h = http.HandlerFunc(r.serveStale)
	case mwcheck.Current:
		h = http.HandlerFunc(r.missChanges)
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

// faultyProxy forwards requests and breaks one guarantee while the run injects
// faults.
type faultyProxy struct {
	target   string
	client   *http.Client
	inactive func() bool // inactive reports whether to forward without violations.

	mu            sync.Mutex
	servedVersion string // servedVersion is the version whose route was last served, empty if unknown.
}

// send forwards r under the given path and returns the response.
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

// forward forwards r under the given path and writes the response, which f
// changes unless x is inactive.
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

// duplicateOrders sends each order twice.
func (x *faultyProxy) duplicateOrders(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && !x.inactive() {
		if _, _, err := x.send(r, r.URL.Path, nil); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	x.forward(w, r, r.URL.Path, unchanged)
}

// denyOrders answers orders with a status that says they have not run.
func (x *faultyProxy) denyOrders(w http.ResponseWriter, r *http.Request) {
	x.forward(w, r, r.URL.Path, func(status int, b []byte) (int, []byte) {
		if r.Method == http.MethodPost {
			return http.StatusServiceUnavailable, nil
		}
		return status, b
	})
}

// truncate drops the second half of a response body and sends the rest as a
// complete response.
func (x *faultyProxy) truncate(w http.ResponseWriter, r *http.Request) {
	x.forward(w, r, r.URL.Path, func(status int, b []byte) (int, []byte) { return status, b[:len(b)/2] })
}

// serveStale forwards requests for the route of any version to the route of the
// version that was last served, so that older versions seem to be in force.
func (x *faultyProxy) serveStale(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	rest, ok := strings.CutPrefix(path, "/v")
	if !ok { // The request is not for the route of a version.
		x.forward(w, r, path, unchanged)
		return
	}
	version, id, _ := strings.Cut(rest, "/")
	x.mu.Lock()
	if x.servedVersion != "" {
		path = "/v" + x.servedVersion + "/" + id
	}
	x.mu.Unlock()
	x.forward(w, r, path, func(status int, b []byte) (int, []byte) {
		if status == http.StatusOK && path == r.URL.Path {
			x.mu.Lock()
			x.servedVersion = version
			x.mu.Unlock()
		}
		if status == http.StatusNotFound {
			x.mu.Lock()
			x.servedVersion = ""
			x.mu.Unlock()
		}
		return status, b
	})
}

// missChanges serves only the route of the version that it served first, so that all
// later changes seem to be missed.
func (x *faultyProxy) missChanges(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/v")
	version, _, _ := strings.Cut(rest, "/")
	x.forward(w, r, r.URL.Path, func(status int, b []byte) (int, []byte) {
		if !ok || status != http.StatusOK {
			return status, b
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.servedVersion == "" {
			x.servedVersion = version
		}
		if version != x.servedVersion {
			return http.StatusNotFound, nil
		}
		return status, b
	})
}
