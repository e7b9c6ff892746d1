package mwconn

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Listener is a net.Listener whose connections follow limits that can change.
// The server that uses it must be prepared with Attach.
type Listener struct {
	net.Listener
	options
	conns  *mwshard.Map[connID, *conn]
	open   atomic.Int64
	lastID atomic.Uint64
	logged atomic.Int64  // Unix time of the last line in nanoseconds
	closed chan struct{} // receives a value when a connection was closed
}

// connID identifies a connection of a listener.
type connID uint64

// options are the optional parameters of NewListener.
type options struct {
	limits   func() Limits
	budget   *mwmemory.Budget
	maxConns mwunit.Connections
	refuse   http.Handler
	log      *slog.Logger
}

// Option sets an optional parameter of NewListener.
type Option = mwoption.Option[options]

// WithLimits sets the limits of the connections. They call f, which must not
// block, whenever the server sets a deadline for a head or an idle connection.
func WithLimits(f func() Limits) Option { return func(o *options) { o.limits = f } }

// WithBudget sets the budget to which the connections charge the heads that they
// receive.
func WithBudget(b *mwmemory.Budget) Option { return func(o *options) { o.budget = b } }

// WithMaxConns sets the maximum number of open connections, 0 for no limit. A
// connection beyond it replaces the one that has waited the longest for a request.
func WithMaxConns(n mwunit.Connections) Option { return func(o *options) { o.maxConns = n } }

// WithRefusal sets the handler that answers a request for which there is no memory.
// It must not use its request, which is nil if only a part of the head was received.
func WithRefusal(h http.Handler) Option { return func(o *options) { o.refuse = h } }

// WithLog sets the logger. A listener logs at most one line a second.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// NewListener returns a Listener over l. Without options its connections have no
// limits.
func NewListener(l net.Listener, opts ...Option) *Listener {
	o := options{
		limits: func() Limits { return Limits{} }, budget: mwmemory.NewBudget(0),
		refuse: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}),
		log: slog.New(slog.DiscardHandler),
	}
	mwoption.Apply(&o, opts...)
	return &Listener{
		Listener: l, options: o, conns: mwshard.New[connID, *conn](mwshard.DefaultShards),
		closed: make(chan struct{}, 1),
	}
}

// Attach prepares srv to serve the connections of l. It must be called before srv
// serves them.
func (l *Listener) Attach(srv *http.Server) {
	srv.ConnState = connState
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c, ok := c.(*conn); ok {
			ctx = context.WithValue(ctx, connKey{}, c)
			return mwmemory.NewContext(ctx, c.account)
		}
		return ctx
	}
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.startRequest() {
			w.Header().Set("Connection", "close")
			l.refuse.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of a conn in the context of its requests.
type connKey struct{}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := l.newConn(nc)
		if l.makeRoom() {
			l.conns.Set(c.id, c)
			return c, nil
		}
		l.logLimit("connection rejected: all others are in use", c)
		c.Close()
	}
}

// logPeriod is the minimum time between two log lines of a listener. A crowd of
// clients must not displace other lines.
const logPeriod = time.Second

// logLimit logs that c was ended by a limit.
func (l *Listener) logLimit(msg string, c *conn) {
	now, last := time.Now().UnixNano(), l.logged.Load()
	if now-last < int64(logPeriod) || !l.logged.CompareAndSwap(last, now) {
		return
	}
	s := l.budget.Stats()
	l.log.Warn(msg, "Listener", l.Addr().String(), "Remote", c.RemoteAddr().String(), "HeadBytes", c.headBytes,
		"Open", l.open.Load(), "Held", s.Held, "Holders", s.Holders)
}

func (l *Listener) newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, l: l, id: connID(l.lastID.Add(1))}
	c.account = l.budget.Open(c.wake)
	c.waitsSince.Store(time.Now().UnixNano())
	l.open.Add(1)
	return c
}

// makeRoomTimeout is how long a new connection waits for the end of the one that it
// replaces.
const makeRoomTimeout = 2 * refusalTimeout

// makeRoom reports whether the newest connection may stay open. If there are too
// many, it ends another one and waits until that is closed, so that the process's
// descriptors suffice for all.
func (l *Listener) makeRoom() bool {
	if !l.overfull() {
		return true
	}
	if !l.evictLongestWaiting() {
		return false
	}
	timeout := mwtimer.NewTimer(makeRoomTimeout)
	defer timeout.Stop()
	for l.overfull() {
		select {
		case <-l.closed:
		case <-timeout.C:
			return false
		}
	}
	return true
}

// overfull reports whether more connections are open than allowed.
func (l *Listener) overfull() bool { return l.maxConns > 0 && l.open.Load() > int64(l.maxConns) }

// connClosed is called when a connection was closed.
func (l *Listener) connClosed() {
	l.open.Add(-1)
	select {
	case l.closed <- struct{}{}:
	default:
	}
}

// evictLongestWaiting evicts the connection that has waited the longest. It returns
// false if none waits.
func (l *Listener) evictLongestWaiting() bool {
	for {
		c := l.longestWaiting()
		if c == nil {
			return false
		}
		if c.account.Evict() {
			return true
		}
	}
}

// longestWaiting returns the connection that has waited the longest for a complete
// head, or nil if none waits. Connections that have had a request come after those
// that have not.
func (l *Listener) longestWaiting() *conn {
	var longest *conn
	l.conns.Range(func(_ connID, c *conn) bool {
		if phase(c.phase.Load()).waits() && !c.account.Evicted() && (longest == nil || c.waitsBefore(longest)) {
			longest = c
		}
		return true
	})
	return longest
}
