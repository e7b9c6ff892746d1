package mwstorehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwstore"
)

// Client is a mwstore.Store over HTTP.
//
// It tells apart what its callers depend on: a write that never left this
// process is mwcode.StoreAway, one that left and has no whole answer is
// mwcode.StoreUnknown. It repeats nothing, and it takes from net/http the
// means to do so. After the first silence it drops its idle connections, as
// they may be dead too.
type Client struct {
	base string
	http *http.Client
}

var _ mwstore.Store = (*Client)(nil)

// options are the settings of NewClient.
type options struct {
	timeout time.Duration
}

// Option changes how NewClient makes a Client.
type Option = mwoption.Option[options]

// WithTimeout bounds each request.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// defaultTimeout bounds a request where no option does.
const defaultTimeout = 2 * time.Second

// idleTimeout is how long a connection is kept unused.
const idleTimeout = 30 * time.Second

// NewClient returns a Client of the store at addr. The returned function
// closes its connections.
func NewClient(addr mwid.Address, opts ...Option) (*Client, func()) {
	o := options{timeout: defaultTimeout}
	mwoption.Apply(&o, opts...)
	t := &http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 8}
	c := &Client{
		base: "http://" + string(addr),
		http: &http.Client{Transport: t, Timeout: o.timeout},
	}
	return c, t.CloseIdleConnections
}

// Get reads one row.
func (c *Client) Get(ctx context.Context, k mwstore.Key) (mwstore.Row, error) {
	return call[mwstore.Row](ctx, c, getPath, keyMessage{k}, mwcode.StoreAway)
}

// Scan reads rows in order of key.
func (c *Client) Scan(ctx context.Context, prefix, after mwstore.Key, limit int) ([]mwstore.Row, error) {
	m, err := call[rowsMessage](ctx, c, scanPath, scanMessage{prefix, after, limit}, mwcode.StoreAway)
	return m.Rows, err
}

// Commit runs t.
func (c *Client) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	return call[mwstore.Receipt](ctx, c, commitPath, t, mwcode.StoreUnknown)
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, k mwstore.Key, b []byte) error {
	_, err := call[emptyMessage](ctx, c, putObjectPath, objectMessage{k, b}, mwcode.StoreUnknown)
	return err
}

// GetObject returns an object.
func (c *Client) GetObject(ctx context.Context, k mwstore.Key) ([]byte, error) {
	m, err := call[objectMessage](ctx, c, getObjectPath, keyMessage{k}, mwcode.StoreAway)
	return m.Value, err
}

// call sends q to path and returns the answer. Where the request left and no
// whole answer came, the error has code lost.
func call[A, Q any](ctx context.Context, c *Client, path string, q Q, lost mwcode.Code) (A, error) {
	var a A
	body, err := json.Marshal(q)
	if err != nil {
		return a, mwcode.New(mwcode.Internal, mwcode.Wrap(err))
	}
	var left atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { left.Store(true) },
	})
	res, err := c.send(ctx, path, body)
	if err != nil {
		if !left.Load() {
			lost = mwcode.StoreAway
		}
		return a, mwcode.New(lost, mwcode.Wrap(err))
	}
	defer res.Body.Close()
	if err := decode(res, &a); err != nil {
		if mwcode.Of(err) != mwcode.Internal {
			return a, err
		}
		return a, mwcode.New(lost, mwcode.Wrap(err))
	}
	return a, nil
}

func (c *Client) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	r.GetBody = nil // The Transport can't replay the request.
	r.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(r)
	if err != nil {
		c.http.CloseIdleConnections()
		return nil, fmt.Errorf("send request: %w", err)
	}
	return res, nil
}

// decode decodes the body of res into a. Its error has the store's code
// where the store gave one, else none.
func decode[A any](res *http.Response, a *A) error {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if res.StatusCode == http.StatusOK {
		return json.Unmarshal(b, a)
	}
	var m errorMessage
	if err := json.Unmarshal(b, &m); err != nil || !codeOf(res.StatusCode, m.Code) {
		return fmt.Errorf("answer of status %d without a code", res.StatusCode)
	}
	return mwcode.New(m.Code, mwcode.Field(m.Field))
}
