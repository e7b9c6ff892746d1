package mwfakeserver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// WorkHeader is the response header with the time that the work itself takes,
// without the calls that it makes to other services.
const WorkHeader = "X-Work-Time"

// run does the work of one call that holds a slot.
func (b *Backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	c := matchClass(b.set.classes, r.URL.Path)
	d := drawWork(b.set.seed, requestID(r), c)
	workTime := scale(d.time, b.slowdown.current())
	w.Header().Set(WorkHeader, workTime.String())
	if c.Streamed && !d.failed {
		b.stream(ctx, w, c.Body, workTime)
		return
	}
	if !wait(workTime, ctx.Done()) {
		b.giveUp(w)
		return
	}
	if err := b.callStages(ctx, r, c.Stages); err != nil {
		b.fail(ctx, w, err.Error())
		return
	}
	if d.failed {
		b.fail(ctx, w, "work failed")
		return
	}
	b.answer(w, c.Body)
}

// giveUp answers a call that was started but not completed.
func (b *Backend) giveUp(w http.ResponseWriter) {
	b.set.record.givenUp.Add(1)
	http.Error(w, "given up", http.StatusGatewayTimeout)
}

func (b *Backend) fail(ctx context.Context, w http.ResponseWriter, text string) {
	if ctx.Err() != nil {
		b.giveUp(w)
		return
	}
	http.Error(w, text, http.StatusBadGateway)
}

// answer sends a body of n bytes.
func (b *Backend) answer(w http.ResponseWriter, n mwunit.Bytes) {
	w.Header().Set("Content-Length", strconv.FormatInt(int64(n), 10))
	for n > 0 {
		m := min(n, chunkBytes)
		if _, err := w.Write(chunk[:m]); err != nil {
			b.set.record.givenUp.Add(1)
			return
		}
		n -= m
	}
	b.set.record.done.Add(1)
}

// Maximum size of the parts in which a body is written, and number of the equal
// parts of a streamed body.
const (
	chunkBytes   mwunit.Bytes = 16 << 10
	streamChunks              = 16
)

// chunk is the content of bodies.
var chunk [chunkBytes]byte

// stream sends a body of n bytes in equal parts spread over workTime. It
// aborts the connection if it can't send the whole body, so that the client
// sees that the body is incomplete.
func (b *Backend) stream(ctx context.Context, w http.ResponseWriter, n mwunit.Bytes, workTime time.Duration) {
	w.Header().Set("Content-Length", strconv.FormatInt(int64(n), 10))
	rc := http.NewResponseController(w)
	part := n / streamChunks
	for i := range streamChunks {
		if !wait(workTime/streamChunks, ctx.Done()) {
			b.set.record.givenUp.Add(1)
			panic(http.ErrAbortHandler)
		}
		if i == streamChunks-1 {
			part = n - part*(streamChunks-1)
		}
		if _, err := io.CopyN(w, zeros{}, int64(part)); err != nil {
			b.set.record.givenUp.Add(1)
			panic(http.ErrAbortHandler)
		}
		// If w does not support Flush, the body is sent at the end.
		_ = rc.Flush()
	}
	b.set.record.done.Add(1)
}

// zeros is a reader of an endless sequence of zero bytes.
type zeros struct{}

// Read fills p with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
