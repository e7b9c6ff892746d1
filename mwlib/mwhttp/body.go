package mwhttp

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwunit"
)

// body is a request body that a node relays. A body up to the buffer's size is
// held in memory and can be resent. A larger one is streamed, and can be resent
// only if nothing has been read from it.
type body struct {
	data        []byte
	held        bool
	stream      io.Reader
	length      int64
	readStarted atomic.Bool
}

// newBody returns a body of length bytes that reads from r; length is -1 if
// unknown. It reads and holds a body of up to limit bytes, which it charges to
// memory. It does not read from a body that is known to be larger.
func newBody(r io.Reader, length int64, limit mwunit.Bytes, memory *mwmemory.Account) (*body, error) {
	b := &body{stream: r, length: length}
	if length > int64(limit) {
		return b, nil
	}
	if length == 0 {
		b.held = true
		return b, nil
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, &chargedReader{io.LimitReader(r, int64(limit)+1), memory})
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

// resendable reports whether the body can be sent again from its start.
func (b *body) resendable() bool { return b.held || !b.readStarted.Load() }

// streamed reports whether the body is not held. Such a body is sent to another
// node only after that node has asked for it.
func (b *body) streamed() bool { return !b.held }

// attach sets b as the body of out. It never sets GetBody, and it gives a
// replayable method a body other than nil and http.NoBody, so that net/http's
// Transport does not resend the request by itself after a byte of it was sent.
func (b *body) attach(out *http.Request) {
	switch {
	case b.held && len(b.data) > 0:
		out.Body = io.NopCloser(bytes.NewReader(b.data))
		out.ContentLength = int64(len(b.data))
	case b.held && isReplayable(out.Method):
		// With the identity encoding the Transport uses the reader directly.
		// Otherwise it would start a goroutine to find out whether it is empty.
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

// isReplayable reports whether net/http's Transport considers a request of the
// method without a body safe to resend.
func isReplayable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// streamedBody is the body of an outgoing request. It records that reading has
// started. Closing it leaves the incoming request's body open, which net/http's
// server closes.
type streamedBody struct{ b *body }

// Read reads from the incoming request's body.
func (w *streamedBody) Read(p []byte) (int, error) {
	w.b.readStarted.Store(true)
	return w.b.stream.Read(p)
}

// Close does nothing.
func (w *streamedBody) Close() error { return nil }
