package mwclient_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwbench/internal/mwclient"
	"mustardwheel.example/mwbench/internal/mwload"
	"mustardwheel.example/mwlib/mwfakeserver"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

func address(s *httptest.Server) mwid.Address {
	return mwid.Address(s.Listener.Addr().String())
}

func TestDo(t *testing.T) {
	tests := []struct {
		name        string
		answers     []int
		maxAttempts mwunit.Attempts
		want        mwload.Outcome
		headers     []string
	}{{
		name:        "first answer is good",
		answers:     []int{200},
		maxAttempts: 3,
		want:        mwload.Outcome{OK: true, Attempts: 1, Work: time.Second},
		headers:     []string{"a-7 1  a-7.0"},
	}, {
		name:        "second answer is good",
		answers:     []int{503, 200},
		maxAttempts: 3,
		want:        mwload.Outcome{OK: true, Attempts: 2, Work: time.Second},
		headers:     []string{"a-7 1  a-7.0", "a-7  1 a-7.1"},
	}, {
		name:        "all fail",
		answers:     []int{503, 500, 502},
		maxAttempts: 2,
		want:        mwload.Outcome{Attempts: 2, Work: time.Second},
		headers:     []string{"a-7 1  a-7.0", "a-7  1 a-7.1"},
	}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var n atomic.Int64
			headers := make(chan string, len(test.answers))
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				h := r.Header
				headers <- h.Get("Mw-Key") + " " + h.Get("Mw-First") + " " + h.Get("Mw-Resubmitted") +
					" " + h.Get(mwfakeserver.RequestIDHeader)
				w.Header().Set(mwfakeserver.WorkHeader, "1s")
				w.WriteHeader(test.answers[n.Add(1)-1])
			}))
			defer s.Close()
			cl, closeClient := mwclient.New(address(s))
			defer closeClient()
			got := cl.Do(t.Context(), mwclient.Request{
				Service: "auftrag", Method: http.MethodPost, Path: "/", Keyed: true,
				Timeout: time.Hour, MaxAttempts: test.maxAttempts,
			}, mwload.Arrival{Kind: "a", Number: 7})
			c.Assert(got, qt.Equals, test.want)
			close(headers)
			var seen []string
			for h := range headers {
				seen = append(seen, h)
			}
			c.Assert(seen, qt.DeepEquals, test.headers)
		})
	}
}

func TestFalseRefusals(t *testing.T) {
	tests := []struct {
		name string
		runs bool
		want []mwfakeserver.RequestID
	}{
		{name: "true refusal"},
		{name: "false refusal", runs: true, want: []mwfakeserver.RequestID{"a-0.0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b, closeBackend := mwfakeserver.NewBackend()
			defer closeBackend()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if test.runs {
					b.ServeHTTP(httptest.NewRecorder(), r)
				}
				w.Header().Set("Mw-Outcome", "NotRun")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer s.Close()
			cl, closeClient := mwclient.New(address(s))
			defer closeClient()
			cl.Do(t.Context(), mwclient.Request{Timeout: time.Hour}, mwload.Arrival{Kind: "a"})
			c.Assert(cl.Refused(), qt.Equals, 1)
			c.Assert(cl.FalseRefusals(b.Record()), qt.DeepEquals, test.want)
		})
	}
}
