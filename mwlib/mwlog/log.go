// Package mwlog writes log lines beside the work that they tell of: a reader
// that stalls, or a burst of lines, delays no call.
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

// Writer is an io.Writer that takes whole lines without waiting. One
// goroutine passes them on; lines that come while the queue is full, or above
// the rate, are dropped, and a later line says how many.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64

	mu     sync.Mutex
	rate   float64 // rate is in lines a second.
	tokens float64
	last   time.Time
}

// Bounds of a Writer.
const (
	// DefaultQueue is the number of lines that wait; at 500 bytes each they
	// hold half a megabyte.
	DefaultQueue = 1024
	// DefaultRate is the number of lines a second that are written in the
	// long run. At some 5 µs a line that is under 0.2% of a core.
	DefaultRate = 300
	// burstSeconds is how many seconds of the rate may come at once.
	burstSeconds = 2
)

// Option changes how New makes a Writer.
type Option = mwoption.Option[Writer]

// WithQueue sets the number of lines that may wait.
func WithQueue(n int) Option { return func(w *Writer) { w.lines = make(chan []byte, n) } }

// WithRate sets the number of lines a second in the long run.
func WithRate(perSecond float64) Option { return func(w *Writer) { w.rate = perSecond } }

// New returns a Writer to w. The returned function writes what waits, for a
// short time at the most, and ends it.
func New(to io.Writer, opts ...Option) (*Writer, func()) {
	w := &Writer{to: to, lines: make(chan []byte, DefaultQueue), rate: DefaultRate, last: time.Now()}
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
		case <-time.After(endWait):
		}
	}
}

// endWait bounds the wait for lines at the end.
const endWait = time.Second

// Write takes one line.
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

// allow tells whether the rate allows one more line.
func (w *Writer) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(w.tokens+now.Sub(w.last).Seconds()*w.rate, burstSeconds*w.rate)
	w.last = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Dropped returns how many lines were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run(stop <-chan struct{}) {
	for {
		select {
		case l := <-w.lines:
			w.pass(l)
		case <-stop:
			w.rest()
			return
		}
	}
}

// rest writes what still waits.
func (w *Writer) rest() {
	for {
		select {
		case l := <-w.lines:
			w.pass(l)
		default:
			return
		}
	}
}

// pass writes one line and, before it, how many were dropped. An error of the
// reader is no reason to stop: it may come back.
func (w *Writer) pass(line []byte) {
	if n := w.dropped.Load(); n > 0 {
		r := fmt.Sprintf(`{"time":%q,"level":"WARN","msg":"log lines dropped","Lines":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), n)
		if _, err := io.WriteString(w.to, r); err == nil {
			w.dropped.Add(-n)
		}
	}
	if _, err := w.to.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// NewLogger returns a logger of JSON lines to w.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
