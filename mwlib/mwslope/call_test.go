package mwslope_test

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmember"
	"mustardwheel.example/mwlib/mwrpc"
)

// echo is an RPC service that returns each ping.
type echo struct{}

// Ping returns m.
func (echo) Ping(m *mwmember.Message, res *mwmember.Message) error {
	*res = *m
	return nil
}

// BenchmarkCall measures a net/rpc call over loopback with a ping of typical
// size. The processor time that it reports covers client, server and operating
// system.
func BenchmarkCall(b *testing.B) {
	server, stopServer := mwrpc.New()
	defer stopServer()
	client, stopClient := mwrpc.New()
	defer stopClient()
	if err := server.Handle("Echo", echo{}); err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: server}
	go s.Serve(l)
	defer s.Close()
	addr := mwid.Address(l.Addr().String())
	m := mwmember.Message{From: "10.1.2.3:7002#0123456789abcdef", Version: 12345, Digest: 1 << 60}
	cpu := processorTime(b)
	n := 0
	for b.Loop() {
		var res mwmember.Message
		if err := client.Call(b.Context(), addr, "Echo.Ping", &m, &res); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/float64(n), "cpu-µs/call")
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
