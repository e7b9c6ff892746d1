package main

import (
	"io"
	"sync/atomic"
	"time"
)

// switcher turns a disruption on and off.
type switcher struct{ v atomic.Bool }

func (s *switcher) on() bool { return s.v.Load() }

// repeat turns s on for length, again and again with a pause between, until end.
func (s *switcher) repeat(rec *recorder, what string, length, pause time.Duration, end time.Time) {
	for time.Now().Before(end) {
		rec.add("disruption: %s, for %v", what, length)
		s.v.Store(true)
		time.Sleep(length)
		s.v.Store(false)
		time.Sleep(pause)
	}
}

// readAll reads the body of a request.
func readAll(x *exchange) (string, error) {
	b, err := io.ReadAll(x.req.Body)
	return string(b), err
}
