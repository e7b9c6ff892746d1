// Package mwhost runs one whole node in a process: the kernel with its
// plug-ins, the front end, and the listeners.
package mwhost

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwlib/mwadmin"
	"mustardwheel.example/mwlib/mwcert"
	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwrpc"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwtimer"
)

// Bounds of the listeners' connections.
const (
	// headerTimeout and idleTimeout hold where the configuration has no limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// drainLinger is how long a draining node still answers other nodes.
	drainLinger = 3 * time.Second
)

// Host is one running node. Its listeners open before the kernel is made,
// so that a setting of port 0 is replaced by the real port everywhere; they
// serve once the kernel is there.
type Host struct {
	set     mwsetting.Node
	log     *slog.Logger
	metrics *metrics.Set
	kernel  *mwkernel.Kernel
	front   *mwhttp.Front
	peers   *mwrpc.Peers
	drained chan struct{} // drained gets a value when an operator drains.

	entry, local, peer, admin, control, ready *listener

	group errgroup.Group
}

// listener is one listener with its server.
type listener struct {
	net.Listener
	server *http.Server
}

// addr returns the address of l, empty where l is not open.
func (l *listener) addr() mwid.Address {
	if l == nil {
		return ""
	}
	return mwid.Address(l.Addr().String())
}

// options are what New takes beside the settings.
type options struct {
	log   *slog.Logger
	store mwstore.Store
}

// Option changes how New makes a Host.
type Option = mwoption.Option[options]

// WithLog sets where the node logs.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithStore sets a store in place of the one that the settings name.
func WithStore(s mwstore.Store) Option { return func(o *options) { o.store = s } }

// New runs a node with settings set. The returned function ends it at once;
// call Drain before it to let calls in flight end.
func New(set *mwsetting.Node, opts ...Option) (*Host, func(), error) {
	o := options{log: slog.Default()}
	mwoption.Apply(&o, opts...)
	h := &Host{set: *set, log: o.log, metrics: metrics.NewSet(), drained: make(chan struct{}, 1)}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, nil, err
	}
	var endPeers func()
	h.peers, endPeers = mwrpc.New()
	k, endKernel, err := mwkernel.New(&h.set, h.kernelOptions(o)...)
	if err != nil {
		endPeers()
		h.closeListeners()
		return nil, nil, err
	}
	h.kernel = k
	d, endDialect, err := mwhttp.Dialects.Make(h.set.Plugins.Dialect, k.Env())
	if err != nil {
		endKernel()
		endPeers()
		h.closeListeners()
		return nil, nil, err
	}
	var endFront func()
	h.front, endFront = mwhttp.New(k, h.set.Relay, mwhttp.WithDialect(d))
	h.serve(d)
	return h, func() {
		h.closeServers()
		endFront()
		if endDialect != nil {
			endDialect()
		}
		endKernel()
		endPeers()
		h.group.Wait()
	}, nil
}

func (h *Host) kernelOptions(o options) []mwkernel.Option {
	opts := []mwkernel.Option{
		mwkernel.WithLog(h.log), mwkernel.WithMetrics(h.metrics), mwkernel.WithPeers(h.peers),
	}
	if o.store != nil {
		opts = append(opts, mwkernel.WithStore(o.store))
	}
	return opts
}

// listen opens the listeners and writes their real addresses into the
// settings.
func (h *Host) listen() error {
	l := &h.set.Listen
	for _, x := range []struct {
		to   **listener
		addr *mwid.Address
	}{
		{&h.entry, &l.Entry}, {&h.local, &l.Local}, {&h.peer, &l.Peer}, {&h.admin, &l.Admin},
		{&h.control, &l.Control}, {&h.ready, &l.Ready},
	} {
		if *x.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", string(*x.addr))
		if err != nil {
			return fmt.Errorf("mwhost: %w", err)
		}
		*x.to = &listener{Listener: ln}
		*x.addr = (*x.to).addr()
	}
	for _, l := range []*listener{h.entry, h.local} {
		if l != nil {
			l.Listener = mwconn.NewListener(l.Listener, h.callerLimits)
		}
	}
	return h.secure()
}

// secure puts TLS on the entry listener where a certificate is set.
func (h *Host) secure() error {
	if h.set.Listen.CertFile == "" {
		return nil
	}
	s, err := mwcert.New(h.set.Listen.CertFile, h.set.Listen.KeyFile)
	if err != nil {
		return err
	}
	h.entry.Listener = tls.NewListener(h.entry.Listener, s.Config())
	return nil
}

// serve starts the servers.
func (h *Host) serve(d mwhttp.Dialect) {
	peer := h.closing(h.front.Peer())
	h.start(h.entry, h.closing(h.front.Entry()))
	h.start(h.local, h.front.Local())
	control := d.Control(h.kernel)
	h.start(h.control, control)
	h.start(h.ready, control)
	h.start(h.peer, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			h.peers.ServeHTTP(w, r)
			return
		}
		peer.ServeHTTP(w, r)
	}))
	h.start(h.admin, mwadmin.NewHandler(h.kernel, h.metrics, h.requestDrain, h.set.Listen.Pprof))
}

// start serves l, which may be nil.
func (h *Host) start(l *listener, handler http.Handler) {
	if l == nil {
		return
	}
	l.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: int(h.set.Relay.HeaderBytes), ConnState: mwconn.NoteState,
		ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
	}
	h.group.Go(func() error {
		if err := l.server.Serve(l.Listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("mwhost: %w", err)
		}
		return nil
	})
}

// callerLimits returns the limits in force; there are none before the first
// configuration.
func (h *Host) callerLimits() mwconn.Limits {
	s := h.kernel.Configuration().Snapshot()
	if s == nil {
		return mwconn.Limits{}
	}
	l := s.CallerLimits()
	return mwconn.Limits{Header: time.Duration(l.HeaderTimeout), Idle: time.Duration(l.IdleTimeout)}
}

// requestDrain notes that an operator wants the node to drain.
func (h *Host) requestDrain() {
	select {
	case h.drained <- struct{}{}:
	default:
	}
}

// DrainRequested returns a channel that gets a value when an operator wants
// the node to drain; the owner of the Host then calls Drain.
func (h *Host) DrainRequested() <-chan struct{} { return h.drained }

// Drain takes no new work, tells the other nodes so, and returns nil when the
// last call is over, or an error when ctx is done before.
//
// The listeners stay open for drainLinger: callers that have not heard of the
// drain are still served, by other targets, other nodes get a refusal which
// tells that their call did not run, and each answer asks its caller to close
// the connection. Closing idle connections at once would break requests that
// are on their way. After that no request is taken, so that those in flight
// come to an end even where callers never stop.
func (h *Host) Drain(ctx context.Context) error {
	h.log.Info("draining", "Node", h.kernel.Self().Node)
	linger := mwtimer.NewTimer(drainLinger)
	defer linger.Stop()
	idle := h.kernel.Leave()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	var g errgroup.Group
	for _, l := range h.listeners() {
		if l == h.admin || l == h.ready {
			continue
		}
		g.Go(func() error { return l.server.Shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("mwhost: draining: %w", err)
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("mwhost: draining: %w", context.Cause(ctx))
	}
}

// closing asks the client to close its connection while the node drains.
func (h *Host) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.kernel.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// listeners returns those that are open.
func (h *Host) listeners() []*listener {
	all := []*listener{h.entry, h.local, h.peer, h.admin, h.control, h.ready}
	return slices.DeleteFunc(all, func(l *listener) bool { return l == nil })
}

func (h *Host) closeServers() {
	for _, l := range h.listeners() {
		l.server.Close()
	}
}

func (h *Host) closeListeners() {
	for _, l := range h.listeners() {
		l.Close()
	}
}

// Kernel returns the node's kernel.
func (h *Host) Kernel() *mwkernel.Kernel { return h.kernel }

// Settings returns the settings in use, with the real addresses.
func (h *Host) Settings() mwsetting.Node { return h.set }

// Entry returns the address of the listener for callers.
func (h *Host) Entry() mwid.Address { return h.entry.addr() }

// Local returns the address of the listener for this VM's backend server.
func (h *Host) Local() mwid.Address { return h.local.addr() }

// Peer returns the address of the listener for other nodes.
func (h *Host) Peer() mwid.Address { return h.peer.addr() }

// Control returns the address of the listener for announcements.
func (h *Host) Control() mwid.Address { return h.control.addr() }

// Ready returns the address of the listener for readiness.
func (h *Host) Ready() mwid.Address { return h.ready.addr() }

// Admin returns the address of the listener for operators.
func (h *Host) Admin() mwid.Address { return h.admin.addr() }
