package mwadmit_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwsetting"
)

// admitOne admits c and releases its slot.
func admitOne(tb testing.TB, a mwkernel.Admission, c *mwcall.Call) {
	release, err := a.Admit(tb.Context(), c)
	if err != nil {
		tb.Error(err)
		return
	}
	release(mwcall.Sample{Took: time.Millisecond, First: time.Millisecond})
}

func BenchmarkAdmit(b *testing.B) {
	for _, name := range []mwregistry.Name{mwadmit.AdaptiveName, mwadmit.FixedName, mwadmit.NoneName} {
		b.Run(string(name), func(b *testing.B) {
			a, c := makeAdmission(b, name, mwsetting.Admit{}, 90), newCall(orders, "r")
			c.Deadline = time.Now().Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				admitOne(b, a, c)
			}
		})
	}
}

// BenchmarkAdmitParallel shows lock contention with -cpu 1,2,4,8. The threads
// all call one service, or are spread over 16 services. In the case "apart",
// each thread has its own admission, so that they share nothing but the
// machine.
func BenchmarkAdmitParallel(b *testing.B) {
	tests := []struct {
		name                 string
		services, admissions int
	}{
		{name: "one service", services: 1, admissions: 1},
		{name: "16 services", services: 16, admissions: 1},
		{name: "apart", services: 1, admissions: 16},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			as := make([]mwkernel.Admission, test.admissions)
			for i := range as {
				as[i] = makeAdmission(b, mwadmit.AdaptiveName, mwsetting.Admit{}, 90)
				for s := range test.services {
					as[i].Announce(mwcall.Announcement{Service: mwid.ServiceName(fmt.Sprint(s)), Slots: 90, Connections: 660})
				}
			}
			var threads atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				n := int(threads.Add(1))
				c := newCall(orders, "r")
				c.Service = mwid.ServiceName(fmt.Sprint(n % test.services))
				for pb.Next() {
					admitOne(b, as[n%len(as)], c)
				}
			})
		})
	}
}

// doneContext is a context that sends on called when Done is called. Admit calls
// Done when a queued call starts to wait.
type doneContext struct {
	context.Context
	called chan struct{}
}

// Done implements context.Context.
func (c doneContext) Done() <-chan struct{} {
	c.called <- struct{}{}
	return c.Context.Done()
}

// BenchmarkRefuse measures the cost of refusing a call in an overload.
func BenchmarkRefuse(b *testing.B) {
	const queue = 64
	a := makeAdmission(b, mwadmit.AdaptiveName, mwsetting.Admit{Queue: queue}, 1)
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	w := doneContext{ctx, make(chan struct{})}
	if _, err := a.Admit(ctx, newCall(orders, "first")); err != nil {
		b.Fatal(err)
	}
	for i := range queue {
		wg.Go(func() { _, _ = a.Admit(w, newCall(orders, mwid.RootID(fmt.Sprint(i)))) })
		<-w.called
	}
	c := newCall(browsing, "r")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := a.Admit(ctx, c); err == nil {
			b.Fatal("admitted a browsing call while the queue was full of orders")
		}
	}
}
