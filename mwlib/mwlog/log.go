// Package mwlog writes log lines asynchronously, so that neither a stalled
// reader of the log nor a burst of lines delays calls.
package mwlog

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwoption"
)

// Writer is an io.Writer that accepts whole lines without blocking. A goroutine
// writes them to the underlying writer. Lines that exceed the queue or the rate
// limit are dropped, and a later line reports their number.
type Writer struct {
	dst     io.Writer
	lines   chan []byte
	dropped atomic.Int64

	mu       sync.Mutex
	rate     float64 // lines per second
	tokens   float64
	lastFill time.Time
}

// Limits of a Writer.
const (
	// DefaultQueue is the maximum number of queued lines. At 500 bytes per
	// line, a full queue takes half a megabyte.
	DefaultQueue = 1024
	// DefaultRate is the sustained number of lines per second. At 5 µs per
	// line, this takes less than 0.2% of a core.
	DefaultRate = 300
	// burstSeconds is the size of a burst, in seconds at the full rate.
	burstSeconds = 2
)

// Option configures New.
type Option = mwoption.Option[Writer]

// WithQueue sets the maximum number of queued lines.
func WithQueue(n int) Option { return func(w *Writer) { w.lines = make(chan []byte, n) } }

// WithRate sets the sustained number of lines per second.
func WithRate(perSecond float64) Option { return func(w *Writer) { w.rate = perSecond } }

// New returns a Writer to dst. The returned function writes the queued lines,
// for at most closeTimeout, and stops the Writer.
func New(dst io.Writer, opts ...Option) (*Writer, func()) {
	w := &Writer{dst: dst, lines: make(chan []byte, DefaultQueue), rate: DefaultRate, lastFill: time.Now()}
	mwoption.Apply(w, opts...)
	w.tokens = burstSeconds * w.rate
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		w.run(stop)
	}()
	var once sync.Once
	return w, func() {
		once.Do(func() { close(stop) })
		select {
		case <-done:
		case <-time.After(closeTimeout):
		}
	}
}

// closeTimeout limits how long queued lines are written when a Writer stops.
const closeTimeout = time.Second

// Write queues one line or drops it. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow(time.Now()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allow reports whether the rate limit allows one more line.
func (w *Writer) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.tokens+now.Sub(w.lastFill).Seconds()*w.rate, burstSeconds*w.rate)
	w.lastFill = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Dropped returns the number of lines dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run(stop <-chan struct{}) {
	for {
		select {
		case l := <-w.lines:
			w.writeLine(l)
		case <-stop:
			w.flush()
			return
		}
	}
}

// flush writes the queued lines.
func (w *Writer) flush() {
	for {
		select {
		case l := <-w.lines:
			w.writeLine(l)
		default:
			return
		}
	}
}

// writeLine writes one line, preceded by a report if lines were dropped. The
// Writer goes on after an error, since the reader of the log may recover.
func (w *Writer) writeLine(line []byte) {
	if n := w.dropped.Load(); n > 0 {
		r := fmt.Sprintf(`{"time":%q,"level":"WARN","msg":"log lines dropped","Lines":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), n)
		if _, err := io.WriteString(w.dst, r); err == nil {
			w.dropped.Add(-n)
		}
	}
	if _, err := w.dst.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
