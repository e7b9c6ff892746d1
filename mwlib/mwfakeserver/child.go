package mwfakeserver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
)

// Headers of the protocol between backend servers and nodes.
const (
	serviceHeader = "Mw-Service"
	keyHeader     = "Mw-Key"
	timeoutHeader = "Mw-Timeout"
	parentHeader  = "Mw-Parent"
	notRunHeader  = "Mw-Not-Run"
)

// Limits of the connections to the node.
const (
	idleConnections = 256
	idleTimeout     = 30 * time.Second
)

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// callStages runs the stages ss in order, and makes the calls of each stage
// concurrently. It stops at the first call that fails.
func (b *Backend) callStages(ctx context.Context, r *http.Request, ss []Stage) error {
	for i, s := range ss {
		g, ctx := errgroup.WithContext(ctx)
		for j, ch := range s {
			suffix := "/" + strconv.Itoa(i) + "." + strconv.Itoa(j)
			g.Go(func() error { return b.call(ctx, r, ch, suffix) })
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// call makes the call ch through the node and reads the whole answer. The suffix
// makes the ids and keys of a parent's calls unique.
func (b *Backend) call(ctx context.Context, r *http.Request, ch Child, suffix string) error {
	method := ch.Method
	if method == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(b.set.node)+ch.Path, nil)
	if err != nil {
		return fmt.Errorf("calling %s: %w", ch.Service, err)
	}
	b.setHeaders(ctx, req, r, ch, suffix)
	res, err := b.client.Do(req)
	if err != nil {
		return fmt.Errorf("calling %s: %w", ch.Service, err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Errorf("answer of %s: %w", ch.Service, err)
	}
	if res.StatusCode >= http.StatusInternalServerError || res.StatusCode == http.StatusTooManyRequests {
		return fmt.Errorf("answer of %s: %s", ch.Service, res.Status)
	}
	return nil
}

func (b *Backend) setHeaders(ctx context.Context, req, r *http.Request, ch Child, suffix string) {
	req.Header.Set(serviceHeader, string(ch.Service))
	req.Header.Set(parentHeader, r.Header.Get(parentHeader))
	req.Header.Set(RequestIDHeader, string(requestID(r))+suffix)
	if k := r.Header.Get(keyHeader); k != "" && req.Method == http.MethodPost {
		req.Header.Set(keyHeader, k+suffix)
	}
	if t, ok := ctx.Deadline(); ok {
		req.Header.Set(timeoutHeader, time.Until(t).String())
	}
}
