package mwfakeserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
)

// Server is a Backend with a listener that announces itself to its node. It
// renews the announcement, and withdraws it when it is stopped.
type Server struct {
	*Backend
	service    mwid.ServiceName
	address    mwid.Address
	announcer  announcer
	leaving    atomic.Bool
	leftAt     atomic.Int64 // when Leave was called, Unix nanoseconds
	lastCallAt atomic.Int64 // when the last call arrived, Unix nanoseconds
}

// New starts a Server for service s and announces it to the node whose local
// listener has the address node. The returned function withdraws the
// announcement, aborts running calls and stops the Server.
func New(s mwid.ServiceName, node mwid.Address, opts ...Option) (*Server, func(), error) {
	b, stopBackend := NewBackend(append(opts, WithNode(node))...)
	l, err := net.Listen("tcp", string(b.set.listen))
	if err != nil {
		stopBackend()
		return nil, nil, fmt.Errorf("backend server %s: %w", s, err)
	}
	srv := &Server{
		Backend: b, service: s, address: mwid.Address(l.Addr().String()),
		announcer: announcer{client: b.client, node: node},
	}
	stop := srv.start(l, stopBackend)
	if err := srv.announcer.putFirst(context.Background(), srv.announcement()); err != nil {
		stop()
		return nil, nil, fmt.Errorf("backend server %s: %w", s, err)
	}
	return srv, stop, nil
}

// start serves l and renews the announcement until the returned function is
// called.
func (s *Server) start(l net.Listener, stopBackend func()) func() {
	h := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: readTimeout}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		// Serve always returns an error, ErrServerClosed after Close.
		_ = h.Serve(l)
	})
	wg.Go(func() { s.renew(stop) })
	return func() {
		close(stop)
		// If the node can't be reached, the announcement expires there after its TTL.
		_ = s.announcer.withdraw(context.Background(), s.service)
		_ = h.Close()
		wg.Wait()
		stopBackend()
	}
}

// readTimeout limits the time to read the header of a request.
const readTimeout = 10 * time.Second

// serve serves one call, and counts it if s is leaving.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.lastCallAt.Store(time.Now().UnixNano())
	if s.leaving.Load() {
		s.set.record.leaving.Add(1)
	}
	s.ServeHTTP(w, r)
}

func (s *Server) announcement() announcement {
	a := s.set.announced
	a.Service, a.Address = s.service, s.address
	a.Slots, a.Connections = s.set.slots, s.set.connections
	a.TTL, a.Leaving = mwconfig.Duration(s.set.ttl), s.leaving.Load()
	return a
}

// Service returns the service that s serves.
func (s *Server) Service() mwid.ServiceName { return s.service }

// Address returns the address that s listens on.
func (s *Server) Address() mwid.Address { return s.address }

// Leave announces that s accepts no new work.
func (s *Server) Leave(ctx context.Context) error {
	s.leftAt.Store(time.Now().UnixNano())
	s.leaving.Store(true)
	return s.announcer.put(ctx, s.announcement())
}

// LastCallAfterLeave returns the time from Leave to the arrival of the last
// call, or 0 if no call arrived after Leave.
func (s *Server) LastCallAfterLeave() time.Duration {
	left, last := s.leftAt.Load(), s.lastCallAt.Load()
	if left == 0 || last < left {
		return 0
	}
	return time.Duration(last - left)
}

// drainPollInterval is the interval at which Drain checks for running calls.
const drainPollInterval = 20 * time.Millisecond

// errCallsInFlight is returned if a drain does not complete in time.
var errCallsInFlight = errors.New("calls are still in flight")

// Drain calls Leave and waits until no call runs or waits. It returns an error
// if ctx is done first.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.Leave(ctx); err != nil {
		return err
	}
	for s.Load() != (Load{}) {
		if !wait(drainPollInterval, ctx.Done()) {
			return fmt.Errorf("backend server %s: %w", s.service, errCallsInFlight)
		}
	}
	return nil
}
