package mwexperiment

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwid"
)

// relay forwards calls to upstream and makes no decisions.
type relay struct {
	upstream mwid.Address
	client   *http.Client
}

// ServeHTTP forwards r to the upstream and its answer to the caller.
func (rl *relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+string(rl.upstream)+r.URL.Path, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out.Header, out.ContentLength = r.Header.Clone(), r.ContentLength
	res, err := rl.client.Do(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer res.Body.Close()
	maps.Copy(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
	if _, err := io.Copy(w, res.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// Limits of a relay's connections.
const (
	relayReadTimeout     = 10 * time.Second
	relayIdleConnections = 64
)

// newRelays starts two relays in series in front of upstream, as many as there
// are nodes on the path of a call. It returns the address of the first one.
func newRelays(upstream mwid.Address) (mwid.Address, func(), error) {
	second, closeSecond, err := newRelay(upstream)
	if err != nil {
		return "", nil, err
	}
	first, closeFirst, err := newRelay(second)
	if err != nil {
		closeSecond()
		return "", nil, err
	}
	return first, func() { closeFirst(); closeSecond() }, nil
}

func newRelay(to mwid.Address) (mwid.Address, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("relay: %w", err)
	}
	t := &http.Transport{MaxIdleConnsPerHost: relayIdleConnections, DisableCompression: true}
	s := &http.Server{
		Handler:           &relay{upstream: to, client: &http.Client{Transport: t}},
		ReadHeaderTimeout: relayReadTimeout,
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		// Serve always returns an error, ErrServerClosed after Close.
		_ = s.Serve(l)
	})
	return mwid.Address(l.Addr().String()), func() {
		_ = s.Close()
		wg.Wait()
		t.CloseIdleConnections()
	}, nil
}
