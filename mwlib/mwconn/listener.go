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
)

// Listener is a net.Listener whose connections follow limits that can change.
// The server that uses it must be prepared with Attach.
type Listener struct {
	net.Listener
	options
	logged atomic.Int64 // Unix time of the last line in nanoseconds
}

// options are the optional parameters of NewListener.
type options struct {
	limits func() Limits
	budget *mwmemory.Budget
	refuse http.Handler
	log    *slog.Logger
}

// Option sets an optional parameter of NewListener.
type Option = mwoption.Option[options]

// WithLimits sets the limits of the connections. They call f, which must not
// block, whenever the server sets a deadline for a head or an idle connection.
func WithLimits(f func() Limits) Option { return func(o *options) { o.limits = f } }

// WithBudget sets the budget to which the connections charge the heads that they
// receive.
func WithBudget(b *mwmemory.Budget) Option { return func(o *options) { o.budget = b } }

// WithRefusal sets the handler that answers a request for which there is no memory.
// The request that it gets may be nil or have no head.
func WithRefusal(h http.Handler) Option { return func(o *options) { o.refuse = h } }

// WithLog sets the logger. At most one line is logged each logPeriod.
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
	return &Listener{Listener: l, options: o}
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
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, l: l}
	c.account = l.budget.Open(c.wake)
	return c, nil
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
		"Held", s.Held, "Holders", s.Holders)
}
