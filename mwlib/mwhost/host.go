// Package mwhost runs a complete node in a process: the kernel with its
// plug-ins, the HTTP front end and the listeners.
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
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcert"
	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwrpc"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Time limits of the listeners' connections.
const (
	// headerTimeout and idleTimeout apply until a configuration sets limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// drainLinger is how long a draining node keeps its listeners open.
	drainLinger = 3 * time.Second
	// maxLingerShare is the maximum part of the time for a drain in which the
	// listeners stay open. The rest is for the calls that arrived at its end.
	maxLingerShare = 0.6
)

// Host is a running node. It opens its listeners before it creates the kernel,
// so that port 0 in the settings is replaced by the actual port everywhere. The
// listeners serve requests once the kernel exists.
type Host struct {
	set           mwsetting.Node
	limits        limits
	log           *slog.Logger
	metrics       *metrics.Set
	kernel        *mwkernel.Kernel
	front         *mwhttp.Front
	peers         *mwrpc.Peers
	drainRequests chan struct{} // receives a value when an operator requests a drain

	entry, local, peer, admin, control, ready *listener

	group errgroup.Group
}

// listener is a network listener with its HTTP server.
type listener struct {
	net.Listener
	server *http.Server
}

// addr returns the address of l, or an empty one if l is not open.
func (l *listener) addr() mwid.Address {
	if l == nil {
		return ""
	}
	return mwid.Address(l.Addr().String())
}

// options are the parameters of New other than the settings.
type options struct {
	log   *slog.Logger
	store mwstore.Store
}

// Option configures New.
type Option = mwoption.Option[options]

// WithLog sets the node's logger.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithStore sets the store, in place of the one named in the settings.
func WithStore(s mwstore.Store) Option { return func(o *options) { o.store = s } }

// New starts a node with the given settings. The returned function stops it at
// once. To let calls in flight complete, call Drain first.
func New(set *mwsetting.Node, opts ...Option) (*Host, func(), error) {
	o := options{log: slog.Default()}
	mwoption.Apply(&o, opts...)
	h := &Host{set: *set, limits: limitsOf(set), log: o.log, metrics: metrics.NewSet(), drainRequests: make(chan struct{}, 1)}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, nil, err
	}
	var stopPeers func()
	h.peers, stopPeers = mwrpc.New()
	k, stopKernel, err := mwkernel.New(&h.set, h.kernelOptions(o)...)
	if err != nil {
		stopPeers()
		h.closeListeners()
		return nil, nil, err
	}
	h.kernel = k
	d, stopDialect, err := mwhttp.Dialects.Make(h.set.Plugins.Dialect, k.Env())
	if err != nil {
		stopKernel()
		stopPeers()
		h.closeListeners()
		return nil, nil, err
	}
	var stopFront func()
	h.front, stopFront = mwhttp.New(k, h.set.Relay, mwhttp.WithDialect(d))
	h.serve(d)
	return h, func() {
		h.closeServers()
		stopFront()
		if stopDialect != nil {
			stopDialect()
		}
		stopKernel()
		stopPeers()
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

// listen opens the listeners and sets their actual addresses in the settings.
func (h *Host) listen() error {
	l := &h.set.Listen
	for _, x := range []struct {
		to     **listener
		addr   *mwid.Address
		buffer mwunit.Bytes
	}{
		{&h.entry, &l.Entry, h.limits.receiveBuffer}, {&h.local, &l.Local, h.limits.receiveBuffer},
		{&h.peer, &l.Peer, 0}, {&h.admin, &l.Admin, h.limits.receiveBuffer},
		{&h.control, &l.Control, h.limits.receiveBuffer}, {&h.ready, &l.Ready, h.limits.receiveBuffer},
	} {
		if *x.addr == "" {
			continue
		}
		ln, err := listenTCP(*x.addr, x.buffer)
		if err != nil {
			return fmt.Errorf("mwhost: opening listener: %w", err)
		}
		*x.to = &listener{Listener: ln}
		*x.addr = (*x.to).addr()
	}
	return h.enableTLS()
}

// enableTLS enables TLS on the entry listener if a certificate is set.
func (h *Host) enableTLS() error {
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

// serve starts the servers on all open listeners.
func (h *Host) serve(d mwhttp.Dialect) {
	lim := h.limits
	b := mwmemory.NewBudget(lim.heldMemory)
	h.exportMemory(b)
	callers := func(o mwcall.Origin, n mwunit.Connections) []mwconn.Option {
		return []mwconn.Option{
			mwconn.WithBudget(b), mwconn.WithMaxConns(n), mwconn.WithLimits(h.callerLimits),
			mwconn.WithRefusal(h.front.Refusal(o)), mwconn.WithLog(h.log),
		}
	}
	operators := []mwconn.Option{
		mwconn.WithBudget(b), mwconn.WithMaxConns(lim.operatorConns), mwconn.WithLog(h.log),
	}
	peer := h.closeWhileDraining(h.front.Peer())
	h.start(h.entry, h.closeWhileDraining(h.front.Entry()), callers(mwcall.Entry, lim.entryConns)...)
	h.start(h.local, h.front.Local(), callers(mwcall.Local, lim.localConns)...)
	control := d.Control(h.kernel)
	h.start(h.control, control, operators...)
	h.start(h.ready, control, operators...)
	h.start(h.peer, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			h.peers.ServeHTTP(w, r)
			return
		}
		peer.ServeHTTP(w, r)
	}), mwconn.WithBudget(b), mwconn.WithRefusal(h.front.Refusal(mwcall.Peer)), mwconn.WithLog(h.log))
	h.start(h.admin, mwadmin.NewHandler(h.kernel, h.metrics, h.requestDrain, h.set.Listen.Pprof), operators...)
}

// A node forwards a head with names and line ends in their usual form, which takes up
// to two thirds more than a head of the shortest lines, and adds headers of its own.
const (
	forwardedHeadFactor = 2
	addedHeadBytes      = 4 << 10
)

// maxHeadBytes returns the maximum size of a head that arrives on l.
func (h *Host) maxHeadBytes(l *listener) int {
	n := int(h.set.Relay.HeaderBytes)
	if l == h.peer {
		return forwardedHeadFactor*n + addedHeadBytes
	}
	return n
}

// start starts a server on l, unless l is nil. The options limit its connections.
func (h *Host) start(l *listener, handler http.Handler, opts ...mwconn.Option) {
	if l == nil {
		return
	}
	l.server = &http.Server{
		Handler: h.containPanics(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: h.maxHeadBytes(l),
		ErrorLog:       slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
	}
	limited := mwconn.NewListener(l.Listener, opts...)
	limited.Attach(l.server)
	l.Listener = limited
	h.group.Go(func() error {
		if err := l.server.Serve(l.Listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("mwhost: serving: %w", err)
		}
		return nil
	})
}

// containPanics returns a handler that calls next. If next panics, the handler
// records that and closes the connection, since part of an answer may have been
// sent.
func (h *Host) containPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v != http.ErrAbortHandler {
				h.kernel.Env().Panics.Record("request", v)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

// callerLimits returns the limits in force, or none before the first
// configuration.
func (h *Host) callerLimits() mwconn.Limits {
	s := h.kernel.Configuration().Snapshot()
	if s == nil {
		return mwconn.Limits{}
	}
	l := s.CallerLimits()
	return mwconn.Limits{Header: time.Duration(l.HeaderTimeout), Idle: time.Duration(l.IdleTimeout)}
}

// requestDrain signals that an operator requested a drain.
func (h *Host) requestDrain() {
	select {
	case h.drainRequests <- struct{}{}:
	default:
	}
}

// DrainRequested returns a channel that receives a value when an operator
// requests a drain. The owner of the Host must then call Drain.
func (h *Host) DrainRequested() <-chan struct{} { return h.drainRequests }

// Drain stops taking new work, notifies the other nodes, and waits for the
// calls in flight. It returns nil once the last call has completed, or an error
// if ctx is done first.
//
// The listeners stay open for drainLinger, or for a part of the time until the
// deadline of ctx if that is shorter. In this time callers that do not know of the
// drain yet are still served by other targets, and other nodes get a refusal that
// states that their call did not run. Each answer asks the caller to close its
// connection; closing idle connections at once would break requests that are on
// their way. After that time no further request is accepted, and one whose body is
// complete only then is refused, so that the drain completes even if callers never
// stop. Only the admin and readiness listeners stay open, until the Host is stopped.
func (h *Host) Drain(ctx context.Context) error {
	h.log.Info("draining", "Node", h.kernel.Self().Node)
	linger := mwtimer.NewTimer(lingerOf(ctx))
	defer linger.Stop()
	idle := h.kernel.Leave()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	h.kernel.Close()
	var g errgroup.Group
	for _, l := range h.listeners() {
		if l == h.admin || l == h.ready {
			continue
		}
		g.Go(func() error { return l.server.Shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("mwhost: draining: shutting down servers: %w", err)
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("mwhost: draining: waiting for calls in flight: %w", context.Cause(ctx))
	}
}

// lingerOf returns how long the listeners stay open in a drain that ends with ctx.
func lingerOf(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return drainLinger
	}
	return min(drainLinger, time.Duration(maxLingerShare*float64(time.Until(end))))
}

// closeWhileDraining returns a handler that calls next and, while the node
// drains, asks clients to close their connections.
func (h *Host) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.kernel.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// listeners returns the open listeners.
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

// Settings returns the settings in use, with the actual listen addresses.
func (h *Host) Settings() mwsetting.Node { return h.set }

// Entry returns the address of the listener for callers.
func (h *Host) Entry() mwid.Address { return h.entry.addr() }

// Local returns the address of the listener for this VM's backend server.
func (h *Host) Local() mwid.Address { return h.local.addr() }

// Peer returns the address of the listener for other nodes.
func (h *Host) Peer() mwid.Address { return h.peer.addr() }

// Control returns the address of the listener for announcements.
func (h *Host) Control() mwid.Address { return h.control.addr() }

// Ready returns the address of the listener for readiness checks.
func (h *Host) Ready() mwid.Address { return h.ready.addr() }

// Admin returns the address of the listener for operators.
func (h *Host) Admin() mwid.Address { return h.admin.addr() }
