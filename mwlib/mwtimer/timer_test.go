package mwtimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwtimer"
)

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var ticks int
		stop := mwtimer.Every(time.Second, func(time.Time) { ticks++ })
		time.Sleep(3500 * time.Millisecond)
		stop()
		c.Assert(ticks, qt.Equals, 3)
		time.Sleep(time.Minute)
		c.Assert(ticks, qt.Equals, 3)
	})
}

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.Assert(mwtimer.Sleep(ctx, time.Second/2), qt.IsTrue)
		c.Assert(mwtimer.Sleep(ctx, time.Minute), qt.IsFalse)
	})
}
