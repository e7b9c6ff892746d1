package mwhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// Limits of connections to other nodes. keepAlivePeriod, unackedTimeout and
// unusedTimeout also apply to those to backend servers.
const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	maxIdlePerHost  = 64
	continueTimeout = time.Minute
	keepAlivePeriod = 5 * time.Second
	// unackedTimeout is how long sent data may remain unacknowledged before
	// the operating system closes the connection.
	unackedTimeout = 2 * time.Second
	// unusedTimeout is how long the state of an address without calls is kept.
	unusedTimeout = 5 * time.Minute
)

// pool holds one http.Transport per address, so that the connections to one
// address can be closed without affecting others.
type pool struct {
	m *mwshard.Map[mwid.Address, *pooledTransport]
}

// pooledTransport is the transport to one address.
type pooledTransport struct {
	t        mwconn.AnswerTransport
	lastUsed atomic.Int64 // Unix time in seconds
}

func newPool() *pool {
	return &pool{m: mwshard.New[mwid.Address, *pooledTransport](mwshard.DefaultShards)}
}

// get returns the transport to addr, creating it if needed.
func (p *pool) get(addr mwid.Address) mwconn.AnswerTransport {
	e := p.m.GetOrSet(addr, func() *pooledTransport { return &pooledTransport{t: newTransport()} })
	e.lastUsed.Store(time.Now().Unix())
	return e.t
}

// closeIdle closes the idle connections to addr. It is called when a call on
// one connection timed out without an answer: the idle ones may be dead too,
// and the next call opens a new one.
func (p *pool) closeIdle(addr mwid.Address) {
	if e, ok := p.m.Get(addr); ok {
		e.t.CloseIdleConnections()
	}
}

// sweep removes the transports that were not used for unusedTimeout.
func (p *pool) sweep(now time.Time) {
	oldest := now.Add(-unusedTimeout).Unix()
	p.m.DeleteFunc(func(_ mwid.Address, e *pooledTransport) bool {
		if e.lastUsed.Load() > oldest {
			return false
		}
		go e.t.CloseIdleConnections()
		return true
	})
}

func (p *pool) close() {
	p.m.Range(func(_ mwid.Address, e *pooledTransport) bool {
		e.t.CloseIdleConnections()
		return true
	})
}

func newTransport() mwconn.AnswerTransport {
	d := &net.Dialer{
		Timeout: dialTimeout, KeepAlive: keepAlivePeriod, Control: setUnackedTimeout,
	}
	return mwconn.AnswerTransport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: mwconn.NewClientConn(c)}, nil
		},
		MaxIdleConns:          maxIdlePerHost,
		MaxIdleConnsPerHost:   maxIdlePerHost,
		IdleConnTimeout:       idleConnTimeout,
		ExpectContinueTimeout: continueTimeout,
		DisableCompression:    true,

		MaxResponseHeaderBytes: mwconn.MaxHead,
	}}
}

// setUnackedTimeout sets TCP_USER_TIMEOUT of a socket to unackedTimeout.
func setUnackedTimeout(_, _ string, rc syscall.RawConn) error {
	return rc.Control(func(fd uintptr) {
		// If the option is not supported, the calls' deadlines still limit the wait.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(unackedTimeout/time.Millisecond))
	})
}

// countedConn counts the bytes written to a connection, which shows whether
// any byte of a call was sent.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts p before it writes it, so that a call whose bytes may have been
// sent is never reported as not sent.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}
