package mwfakeserver

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"mustardwheel.example/mwlib/mwunit"
)

// WorkHeader is the answer's header that tells how long the work itself took,
// without the calls that it made.
const WorkHeader = "X-Work-Time"

// run does the work of one call in a slot.
func (b *Backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	c := match(b.set.classes, r.URL.Path)
	d := newDraw(b.set.seed, requestID(r), c)
	took := scale(d.time, b.speed.now())
	w.Header().Set(WorkHeader, took.String())
	if c.Streamed && !d.failed {
		b.stream(ctx, w, c.Body, took)
		return
	}
	if !wait(took, ctx.Done()) {
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

// giveUp answers a call that was begun and not brought to its end.
func (b *Backend) giveUp(w http.ResponseWriter) {
	b.set.record.given.Add(1)
	http.Error(w, "given up", http.StatusGatewayTimeout)
}

func (b *Backend) fail(ctx context.Context, w http.ResponseWriter, text string) {
	if ctx.Err() != nil {
		b.giveUp(w)
		return
	}
	http.Error(w, text, http.StatusBadGateway)
}

// answer answers with a body of n bytes.
func (b *Backend) answer(w http.ResponseWriter, n mwunit.Bytes) {
	w.Header().Set("Content-Length", strconv.FormatInt(int64(n), 10))
	for n > 0 {
		m := min(n, chunkBytes)
		if _, err := w.Write(chunk[:m]); err != nil {
			b.set.record.given.Add(1)
			return
		}
		n -= m
	}
	b.set.record.done.Add(1)
}

// Sizes of what a streamed body is written in.
const (
	chunkBytes   mwunit.Bytes = 16 << 10
	streamChunks              = 16
)

// chunk is what bodies are made of.
var chunk [chunkBytes]byte

// stream answers with a body of n bytes in equal parts spread over took. An
// answer that can't be brought to its end is broken visibly.
func (b *Backend) stream(ctx context.Context, w http.ResponseWriter, n mwunit.Bytes, took time.Duration) {
	w.Header().Set("Content-Length", strconv.FormatInt(int64(n), 10))
	rc := http.NewResponseController(w)
	part := n / streamChunks
	for i := range streamChunks {
		if !wait(took/streamChunks, ctx.Done()) {
			b.set.record.given.Add(1)
			panic(http.ErrAbortHandler)
		}
		if i == streamChunks-1 {
			part = n - part*(streamChunks-1)
		}
		if _, err := io.CopyN(w, zeros{}, int64(part)); err != nil {
			b.set.record.given.Add(1)
			panic(http.ErrAbortHandler)
		}
		// A writer that can't flush sends the body at the end.
		_ = rc.Flush()
	}
	b.set.record.done.Add(1)
}

// zeros reads as endless zeros.
type zeros struct{}

// Read fills p with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
