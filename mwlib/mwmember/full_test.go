package mwmember_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmember"
)

// The size that the system is designed for.
const (
	fullNodes    = 4100
	fullZones    = 13
	fullServices = 490
)

// viewPollInterval is the interval at which tests poll a node's targets and
// services for a change.
const viewPollInterval = 100 * time.Millisecond

// silentTransport is a Transport without peers: calls wait for their deadline.
type silentTransport struct{ h mwmember.Handler }

// Serve stores h.
func (s *silentTransport) Serve(h mwmember.Handler) error {
	s.h = h
	return nil
}

// Ping waits for the deadline.
func (*silentTransport) Ping(ctx context.Context, _ mwid.Address, _ mwmember.Message) (mwmember.Message, error) {
	<-ctx.Done()
	return mwmember.Message{}, ctx.Err()
}

// PingVia waits for the deadline.
func (*silentTransport) PingVia(ctx context.Context, _ mwid.Address, _ mwmember.ViaRequest) (mwmember.ViaReply, error) {
	<-ctx.Done()
	return mwmember.ViaReply{}, ctx.Err()
}

// Exchange waits for the deadline.
func (*silentTransport) Exchange(ctx context.Context, _ mwid.Address, _ mwmember.ExchangeRequest) (mwmember.ExchangeReply, error) {
	<-ctx.Done()
	return mwmember.ExchangeReply{}, ctx.Err()
}

// fullRecord returns the record of node i with incarnation inc.
func fullRecord(i int, inc mwmember.Incarnation) mwmember.Record {
	return mwmember.Record{
		Node:        mwid.NodeID(fmt.Sprintf("10.%d.%d.%d:7002#0123456789ab%04x", i%fullZones, i>>8, i&0xff, i)),
		Zone:        mwid.ZoneName(fmt.Sprint("zone-", i%fullZones)),
		Region:      mwid.RegionName(fmt.Sprint("region-", i%fullZones%5)),
		Incarnation: inc,
		Services: []mwmember.Service{{
			Name: mwid.ServiceName(fmt.Sprint("service-", i%fullServices)), Slots: 90, Connections: 660,
		}},
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFullTable measures one node that knows all nodes of the largest
// system: its heap, and the processor time for one changed record, including
// the rebuild of the view.
func BenchmarkFullTable(b *testing.B) {
	before := heap()
	tr := &silentTransport{}
	g, stop, err := mwmember.New(mwid.NewNodeID("10.200.0.1:7002", "boot"), tr,
		mwmember.WithPlace("zone-0", "region-0"), mwmember.WithPeriod(10*time.Second))
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	for i := 0; i < fullNodes; i += 100 {
		var rs []mwmember.Record
		for j := range 100 {
			rs = append(rs, fullRecord(i+j, 1))
		}
		tr.h.HandleExchange(mwmember.ExchangeRequest{Records: rs})
	}
	for len(g.Services()) < fullServices {
		<-time.After(viewPollInterval)
	}
	held := heap() - before
	cpu, n := processorTime(b), 0
	for b.Loop() {
		n++
		r := fullRecord(n%fullNodes, mwmember.Incarnation(n+1))
		old := &g.Targets(r.Services[0].Name)[0]
		tr.h.HandleExchange(mwmember.ExchangeRequest{Records: []mwmember.Record{r}})
		for &g.Targets(r.Services[0].Name)[0] == old {
			<-time.After(viewPollInterval) // A long interval, as polling costs processor time too.
		}
	}
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/float64(n), "cpu-µs/change")
	b.ReportMetric(float64(held)/1024, "KB-heap")
}

// BenchmarkTargets measures the lookup of targets on the request path.
func BenchmarkTargets(b *testing.B) {
	tr := &silentTransport{}
	g, stop, err := mwmember.New(mwid.NewNodeID("10.200.0.1:7002", "boot"), tr, mwmember.WithPlace("zone-0", "region-0"))
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	b.ReportAllocs()
	for b.Loop() {
		g.Targets("service-1")
	}
}
