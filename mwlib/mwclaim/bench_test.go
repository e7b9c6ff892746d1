package mwclaim_test

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwclaim"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
)

// callsPerProcessor is the number of concurrent calls per processor.
const callsPerProcessor = 256

// BenchmarkClaim measures one call that is claimed and finished, with a fake
// store in the same process.
func BenchmarkClaim(b *testing.B) {
	c := qt.New(b)
	s, stop := mwfakestore.New()
	c.Cleanup(stop)
	l, stopLedger, err := mwclaim.New(s, mwclaim.WithLog(quiet))
	c.Assert(err, qt.IsNil)
	c.Cleanup(stopLedger)
	var n atomic.Int64
	b.SetParallelism(callsPerProcessor)
	b.ReportAllocs()
	before := cpuTime(c)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			k := mwid.CallKey(fmt.Sprint(n.Add(1)))
			cl, err := l.Claim(b.Context(), newCall(k, true))
			if err != nil || cl.Begin() != nil {
				b.Error("Claim or Begin failed")
				return
			}
			if err := cl.Finish(b.Context(), mwcall.EncodedAnswer("answer")); err != nil {
				b.Error(err)
			}
		}
	})
	used := cpuTime(c) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
}

// cpuTime returns the CPU time used by this process.
func cpuTime(c *qt.C) time.Duration {
	var u syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
