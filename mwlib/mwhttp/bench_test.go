package mwhttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwhttp"
)

// emptyRelay forwards requests to the next hop without any decision.
type emptyRelay struct {
	next string
	t    *http.Transport
}

func (e *emptyRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, e.next+r.URL.Path, r.Body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.Header = r.Header.Clone()
	resp, err := e.t.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for k, vs := range resp.Header {
		w.Header()[k] = vs
	}
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, resp.Body)
}

// benchmarkURLs returns the URLs of the paths to a backend server that the
// benchmarks compare. All of them give the same answer.
func benchmarkURLs(b *testing.B) map[string]string {
	backend := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "answer") })
	direct := serve(b, backend)
	last := serve(b, &emptyRelay{direct.URL, &http.Transport{MaxIdleConnsPerHost: maxIdle}})
	first := serve(b, &emptyRelay{last.URL, &http.Transport{MaxIdleConnsPerHost: maxIdle}})
	return map[string]string{
		"direct": direct.URL, "empty relays": first.URL, "nodes": newStack(b, backend).entry.URL,
	}
}

// maxIdle is the maximum number of idle connections that a relay keeps.
const maxIdle = 64

func BenchmarkCall(b *testing.B) {
	urls := benchmarkURLs(b)
	for _, name := range []string{"direct", "empty relays", "nodes"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				get(b, urls[name])
			}
		})
	}
}

// get makes one call.
func get(b *testing.B, url string) {
	r, err := http.NewRequest(http.MethodGet, url+"/templates", nil)
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set(mwhttp.HeaderService, string(service))
	r.Header.Set(mwhttp.HeaderCaller, "shop-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
}

// BenchmarkPeerHop measures one node's part of a call, without the network
// connection on which the call arrives.
func BenchmarkPeerHop(b *testing.B) {
	s := newStack(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "answer") }))
	h := s.peer.Config.Handler
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/templates", nil)
		r.Header.Set(mwhttp.HeaderService, string(service))
		r.Header.Set(mwhttp.HeaderAttempt, "a")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		qt.Assert(b, w.Code, qt.Equals, http.StatusOK)
	}
}
