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

// relay passes calls on and decides nothing.
type relay struct {
	upstream mwid.Address
	client   *http.Client
}

// ServeHTTP passes r on and its answer back.
func (y *relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+string(y.upstream)+r.URL.Path, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out.Header, out.ContentLength = r.Header.Clone(), r.ContentLength
	res, err := y.client.Do(out)
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

// Bounds of a relay's connections.
const (
	relayReadTimeout     = 10 * time.Second
	relayIdleConnections = 64
)

// newRelays starts two relays, one behind the other, in front of goal, as
// many as there are nodes on the path of a call. It returns the address of
// the first one.
func newRelays(goal mwid.Address) (mwid.Address, func(), error) {
	second, endSecond, err := newRelay(goal)
	if err != nil {
		return "", nil, err
	}
	first, endFirst, err := newRelay(second)
	if err != nil {
		endSecond()
		return "", nil, err
	}
	return first, func() { endFirst(); endSecond() }, nil
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
		// Serve always returns an error; at the end it is ErrServerClosed.
		_ = s.Serve(l)
	})
	return mwid.Address(l.Addr().String()), func() {
		_ = s.Close()
		wg.Wait()
		t.CloseIdleConnections()
	}, nil
}
