package mwadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwid"
)

// Client sends requests to the admin listener of one node.
type Client struct {
	addr mwid.Address
	http *http.Client
}

// transport is the transport of all clients.
var transport = mwconn.AnswerTransport{Transport: http.DefaultTransport.(*http.Transport)}

// NewClient returns a Client for the node whose admin listener is at addr.
func NewClient(addr mwid.Address) *Client {
	return &Client{addr: addr, http: &http.Client{Transport: transport}}
}

// Status returns the status of the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, StatusPath, nil)
}

// Targets returns the targets of service s that the node knows, or all targets
// if s is empty.
func (c *Client) Targets(ctx context.Context, s mwid.ServiceName) ([]mwcall.Target, error) {
	path := TargetsPath + "?Service=" + url.QueryEscape(string(s))
	return call[[]mwcall.Target](ctx, c, http.MethodGet, path, nil)
}

// Explain returns how the node would treat the call that q describes.
func (c *Client) Explain(ctx context.Context, q ExplainRequest) (Explanation, error) {
	b, err := json.Marshal(q)
	if err != nil {
		return Explanation{}, fmt.Errorf("mwadmin: %w", err)
	}
	return call[Explanation](ctx, c, http.MethodPost, ExplainPath, b)
}

// Drain tells the node to drain and then to exit.
func (c *Client) Drain(ctx context.Context) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, DrainPath, nil)
	return err
}

// call sends body and returns the decoded response. A successful response with
// a status other than 200 has no body, and call returns the zero value.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var v T
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.addr)+path, bytes.NewReader(body))
	if err != nil {
		return v, mwcode.New(mwcode.BadCommand, mwcode.Wrap(err))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return v, mwcode.New(mwcode.Unreachable, mwcode.Wrap(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		var report mwcode.Report
		if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
			return v, mwcode.New(mwcode.Internal, mwcode.Wrap(err))
		}
		return v, mwcode.New(report.Code, mwcode.Field(report.Field), mwcode.Expected(report.Expected))
	}
	if resp.StatusCode != http.StatusOK {
		return v, nil
	}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		return v, mwcode.New(mwcode.Internal, mwcode.Wrap(err))
	}
	return v, nil
}
