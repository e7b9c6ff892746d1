package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"
)

// result is how a request ended for its client.
type result struct {
	id     string
	status int // 0 if no whole answer arrived
	body   string
	sig    string
	err    error
	sent   time.Time
}

// refused says whether the status promises that the request has not run.
func (r result) refused() bool {
	switch r.status {
	case 429, 503, 408, 421:
		return true
	}
	return false
}

// client sends the requests of one client.
type client struct {
	rec  *recorder
	http *http.Client
	node *node
}

func newClient(rec *recorder, n *node) *client {
	return &client{rec: rec, node: n, http: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 12 * time.Second,
	}}}
}

// newID returns a request id.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// do sends one request and waits for its answer. A body of unknown length is
// sent in chunks.
func (c *client) do(method, host, path string, body io.Reader, timeout time.Duration) result {
	r := result{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.out+path, body)
	if err != nil {
		r.err = err
		return r
	}
	req.Host, req.GetBody = host, nil
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	c.rec.add("client at %s: sends %s", c.node.name, r.id)
	resp, err := c.http.Do(req)
	if err == nil {
		var b bytes.Buffer
		_, err = io.Copy(&b, resp.Body)
		resp.Body.Close()
		if err == nil {
			r.status, r.body, r.sig = resp.StatusCode, b.String(), resp.Header.Get("Response-Signature")
		}
	}
	r.err = err
	c.rec.add("client at %s: %s ends with status %d, error %v", c.node.name, r.id, r.status, err)
	return r
}
