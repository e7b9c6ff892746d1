package mwhttp

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwunit"
)

// errBodyStopped is the error of reading a request body after the call has ended.
var errBodyStopped = errors.New("mwhttp: the call of this request body has ended")

// Limits on discarding the rest of a request body after the answer. A connection that
// is closed with bytes to read is reset, and its sender may lose the end of the answer.
const (
	discardTimeout = time.Second
	maxDiscard     = 16 << 20 // bytes
)

// limitedBody is a request body. Reading from it fails if its sender sends
// nothing for the duration idle, or more than maxBytes bytes, or if there is no
// memory for its trailers. A maxBytes of 0 means no limit on the size.
type limitedBody struct {
	rc       *http.ResponseController
	body     io.Reader
	idle     time.Duration
	maxBytes mwunit.Bytes
	memory   *mwmemory.Account
	trailer  func() http.Header // trailer returns the trailers, once the end was reached.

	stopped atomic.Bool
	mu      sync.Mutex   // held while reading
	n       mwunit.Bytes // bytes read so far
	whole   bool         // whether the end was reached
}

// Read reads from the body with a deadline of idle.
func (p *limitedBody) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped.Load() {
		return 0, errBodyStopped
	}
	p.rc.SetReadDeadline(time.Now().Add(p.idle))
	if p.stopped.Load() { // The deadline of stop may have been replaced.
		return 0, errBodyStopped
	}
	n, err := p.body.Read(b)
	if p.n += mwunit.Bytes(n); p.maxBytes > 0 && p.n > p.maxBytes {
		err = bodyTooLarge(p.maxBytes)
	}
	if err != nil {
		p.whole = errors.Is(err, io.EOF)
		p.rc.SetReadDeadline(time.Time{})
	}
	if p.whole {
		if cerr := p.memory.Charge(trailerMemory(p.trailer())); cerr != nil {
			err = cerr
		}
	}
	return n, err
}

// trailerMemory returns the memory of the trailers h and of their copies.
func trailerMemory(h http.Header) mwunit.Bytes {
	n, lines := 0, 0
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v)
			lines++
		}
	}
	return mwconn.HeadMemory(n, lines)
}

// atEnd reports whether the whole body was read.
func (p *limitedBody) atEnd() bool {
	if !p.mu.TryLock() {
		return false
	}
	defer p.mu.Unlock()
	return p.whole
}

// inPart reports whether the body was read in part, or is being read.
func (p *limitedBody) inPart() bool {
	if !p.mu.TryLock() {
		return true
	}
	defer p.mu.Unlock()
	return p.n > 0 && !p.whole
}

// stop ends reading from the body at the end of the call, since the server then
// reads from the connection itself. It returns once no Read is in progress. The rest
// of a body that was read in part is discarded.
func (p *limitedBody) stop() {
	p.stopped.Store(true)
	if !p.inPart() {
		return
	}
	_ = p.rc.Flush() // The answer must not wait for the body; the server reports errors.
	deadline := time.Now().Add(discardTimeout)
	if !p.mu.TryLock() {
		// The Read in progress gets that time too: nothing can be read from a body
		// in chunks after a read of it has failed.
		p.rc.SetReadDeadline(deadline)
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	if p.whole {
		return
	}
	p.rc.SetReadDeadline(deadline)
	_, _ = io.CopyN(io.Discard, p.body, maxDiscard) // The connection is closed whatever remains.
}
