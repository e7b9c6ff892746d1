package mwhttp

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"mustardwheel.example/mwlib/mwunit"
)

// body is the body of a request on its way through a node. A body up to the
// buffer's size is held whole and can be sent again. A larger one is streamed
// and can be sent again only while nothing was read from it.
type body struct {
	data        []byte
	held        bool
	stream      io.Reader
	length      int64
	readStarted atomic.Bool
}

// newBody takes the body r of length bytes, -1 where that is not known,
// holding up to limit bytes. It does not read from a body that is known to be
// larger.
func newBody(r io.Reader, length int64, limit mwunit.Bytes) (*body, error) {
	b := &body{stream: r, length: length}
	if length > int64(limit) {
		return b, nil
	}
	if length == 0 {
		b.held = true
		return b, nil
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if n <= int64(limit) {
		b.data, b.held = buf.Bytes(), true
		return b, nil
	}
	b.readStarted.Store(true)
	b.stream = io.MultiReader(&buf, r)
	return b, nil
}

// resendable tells whether the body can be sent (again).
func (b *body) resendable() bool { return b.held || !b.readStarted.Load() }

// streamed tells whether the body is worth asking before it is sent.
func (b *body) streamed() bool { return !b.held }

// attach makes b the body of an outgoing request. The request has no
// GetBody, and never a missing body, so that net/http's Transport does not
// send it again by itself after a byte of it left.
func (b *body) attach(out *http.Request) {
	switch {
	case b.held && len(b.data) > 0:
		out.Body = io.NopCloser(bytes.NewReader(b.data))
		out.ContentLength = int64(len(b.data))
	case b.held && isReplayable(out.Method):
		// With this encoding the Transport takes the reader as it is; else it
		// would start a goroutine to find out whether it is empty.
		out.Body = io.NopCloser(bytes.NewReader(nil))
		out.ContentLength = 0
		out.TransferEncoding = []string{"identity"}
	case b.held:
		out.Body = http.NoBody
		out.ContentLength = 0
	default:
		out.Body = &streamedBody{b}
		out.ContentLength = b.length
	}
	if len(out.Trailer) > 0 {
		out.ContentLength = -1
	}
}

// isReplayable tells whether the Transport takes a request of the method without
// a body for one that it may send again.
func isReplayable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// streamedBody is a body that notes that it was read from. Closing it leaves the
// request's own body open, which net/http's server closes.
type streamedBody struct{ b *body }

// Read reads from the request's body.
func (w *streamedBody) Read(p []byte) (int, error) {
	w.b.readStarted.Store(true)
	return w.b.stream.Read(p)
}

// Close does nothing.
func (w *streamedBody) Close() error { return nil }
