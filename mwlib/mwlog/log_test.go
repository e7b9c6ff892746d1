package mwlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwlog"
)

// reader is an io.Writer that acts as the reader of the log. Its Write blocks
// while mu is held.
type reader struct {
	mu  sync.Mutex
	got bytes.Buffer
}

func (r *reader) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(p)
}

func (r *reader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.String()
}

// A stalled reader must not block writes. Once it reads again, it gets the
// number of lines dropped meanwhile.
func TestStalledReaderDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &reader{}
		r.mu.Lock()
		w, stop := mwlog.New(r, mwlog.WithQueue(10), mwlog.WithRate(1e6))
		begin := time.Now()
		for range 100 {
			_, err := w.Write([]byte("line\n"))
			c.Assert(err, qt.IsNil)
		}
		c.Check(time.Since(begin), qt.Equals, time.Duration(0))
		c.Check(w.Dropped() >= 89, qt.IsTrue, qt.Commentf("%d dropped", w.Dropped()))
		r.mu.Unlock()
		stop()
		c.Check(r.String(), qt.Contains, `"msg":"log lines dropped"`)
		c.Check(strings.Count(r.String(), "line\n") <= 11, qt.IsTrue)
	})
}

// slowReader accepts one write for each value received from turn.
type slowReader struct {
	reader
	turn chan struct{}
}

func (r *slowReader) Write(p []byte) (int, error) {
	<-r.turn
	return r.reader.Write(p)
}

// Dropped lines count as unreported while the line that reports them still
// waits to be written.
func TestDroppedCountsUntilItIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &slowReader{turn: make(chan struct{})}
		w, stop := mwlog.New(r, mwlog.WithQueue(10), mwlog.WithRate(1e6))
		write := func(n int) {
			for range n {
				_, err := w.Write([]byte("line\n"))
				c.Assert(err, qt.IsNil)
			}
			synctest.Wait()
		}
		write(1) // waits for the reader
		write(100)
		c.Check(w.Dropped(), qt.Equals, int64(90))
		r.turn <- struct{}{}
		synctest.Wait() // the report waits for the reader
		c.Check(w.Dropped(), qt.Equals, int64(90))
		r.turn <- struct{}{}
		synctest.Wait()
		c.Check(w.Dropped(), qt.Equals, int64(0))
		close(r.turn)
		stop()
		c.Check(r.String(), qt.Contains, `"msg":"log lines dropped","Lines":90}`)
	})
}

func TestRateBoundsTheVolume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &reader{}
		w, stop := mwlog.New(r, mwlog.WithRate(100))
		for range 10 {
			for range 1000 {
				_, err := w.Write([]byte("line\n"))
				c.Assert(err, qt.IsNil)
			}
			time.Sleep(time.Second)
		}
		stop()
		n := strings.Count(r.String(), "line\n")
		c.Check(n <= 1200, qt.IsTrue, qt.Commentf("%d lines in 10 s at 100 a second and a burst of 200", n))
		c.Check(n >= 1000, qt.IsTrue)
	})
}
