package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answer is what a client saw.
type answer struct {
	status int
	signed bool
	whole  bool
	err    string
}

// ask sends one request over a new connection and records its answer.
func ask(entry, method, path, id string, timeout time.Duration) answer {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := http.NewRequest(method, "http://"+entry+path, nil)
	if err != nil {
		cannotRun("client: %v", err)
	}
	r.Host = "portal.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	record("client: sends %s %s as %s", method, path, id)
	var a answer
	resp, err := c.Do(r)
	if err != nil {
		a.err = shorten(err)
		record("client: %s: no answer: %s", id, a.err)
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.status, a.whole = resp.StatusCode, err == nil
	a.signed = resp.Header.Get("Response-Signature") == signature(id, b)
	record("client: %s: %d, %d bytes, whole %v, signed %v", id, a.status, len(b), a.whole, a.signed)
	return a
}

// ids returns a function that numbers requests.
func ids(prefix string) func() string {
	n := 0
	return func() string {
		n++
		return fmt.Sprintf("%s%04d", prefix, n)
	}
}
