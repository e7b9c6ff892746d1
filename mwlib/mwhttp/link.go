package mwhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwpanic"
	"mustardwheel.example/mwlib/mwset"
	"mustardwheel.example/mwlib/mwshard"
)

// links holds the persistent connections to backend servers, and those to other
// nodes for calls with a body that is held. It reads and writes messages with
// net/http's functions, but not through its Transport: a backend server may send
// an answer twice, late, or with bytes after its end, and only the owner of the
// connection can skip an answer to an earlier call and still read the right one.
// Unlike the Transport, links also needs no goroutines per connection.
type links struct {
	m      *mwshard.Map[mwid.Address, *linkSet]
	cfg    linkConfig
	panics *mwpanic.Recorder
}

// linkConfig configures how connections are opened and reused.
type linkConfig struct {
	// dialTimeout limits the time for opening a connection.
	dialTimeout time.Duration
	// defaultIdleTimeout is how long an idle connection is kept if the other
	// side sends no idle timeout.
	defaultIdleTimeout time.Duration
	// lifo reuses the most recently used connection first, so that those
	// opened during a peak expire. Otherwise connections are used in turn, so
	// that few of them reach the other side's idle timeout.
	lifo bool
}

// Configurations of links.
var (
	backendLinkConfig = linkConfig{dialTimeout: backendDialTimeout, defaultIdleTimeout: backendIdleTimeout}
	peerLinkConfig    = linkConfig{dialTimeout: dialTimeout, defaultIdleTimeout: idleConnTimeout, lifo: true}
)

// linkSet holds the idle connections to one address.
type linkSet struct {
	addr     mwid.Address
	cfg      linkConfig
	mu       sync.Mutex
	idle     []*link
	lastUsed time.Time
}

// link is one persistent connection, used by one call at a time.
type link struct {
	set        *linkSet
	conn       *mwconn.ClientConn
	r          *mwconn.AnswerReader
	expires    time.Time // when this node stops reusing the connection if it stays idle
	lastAnswer time.Time // end of the last answer
	// failed holds the ids of the calls that ended with an error status on this
	// connection. Such a call may be sent again under the same id, and a second copy
	// of its first answer could not be told from the answer to that attempt.
	failed mwset.Set[mwid.RequestID]
}

// Limits of links.
const (
	// backendDialTimeout limits the time for opening a connection within the VM.
	backendDialTimeout = 500 * time.Millisecond
	// backendIdleTimeout is how long an idle connection to a backend server is
	// kept if that server sends no idle timeout.
	backendIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is how long before the other side's idle timeout a
	// connection expires.
	idleTimeoutMargin = 1500 * time.Millisecond
	// linkBufferSize is the size in bytes of a connection's read buffer.
	linkBufferSize = 4 << 10
	// maxInlineBody is the maximum body in bytes that is written before the
	// answer is read. It fits into the window of any connection.
	maxInlineBody = 4 << 10
	// maxStrayBody is the limit in bytes for the body of an answer to another
	// call. Such a body is read and discarded, since the next answer follows it.
	maxStrayBody = 1 << 20
	// maxSkippedAnswers is the maximum number of informational answers and of
	// answers to other calls that precede the answer to a call.
	maxSkippedAnswers = 16
	// maxFailed is the maximum number of calls that end with an error status on
	// one connection. It bounds the memory for their ids.
	maxFailed = 256
)

func newLinks(cfg linkConfig, panics *mwpanic.Recorder) *links {
	return &links{m: mwshard.New[mwid.Address, *linkSet](mwshard.DefaultShards), cfg: cfg, panics: panics}
}

func (l *links) setFor(addr mwid.Address) *linkSet {
	return l.m.GetOrSet(addr, func() *linkSet { return &linkSet{addr: addr, cfg: l.cfg} })
}

// sweep closes expired connections and removes the sets that were not used for
// unusedTimeout.
func (l *links) sweep(now time.Time) {
	l.m.DeleteFunc(func(_ mwid.Address, s *linkSet) bool {
		s.closeExpired(now)
		return s.unused(now)
	})
}

func (l *links) close() {
	l.m.Range(func(_ mwid.Address, s *linkSet) bool {
		s.closeIf(func(*link) bool { return true })
		return true
	})
}

func (s *linkSet) unused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle) == 0 && now.Sub(s.lastUsed) > unusedTimeout
}

// closeExpired closes the connections whose idle timeout has expired.
func (s *linkSet) closeExpired(now time.Time) {
	s.closeIf(func(k *link) bool { return !now.Before(k.expires) })
}

// closeSilent closes the idle connections that have not answered since start,
// the start of a call that timed out without an answer: they may be as dead as
// that call's connection. Those that have answered since then work, and only
// the answer to that call is slow.
func (s *linkSet) closeSilent(start time.Time) {
	s.closeIf(func(k *link) bool { return k.lastAnswer.Before(start) })
}

// closeIf closes the idle connections for which f returns true.
func (s *linkSet) closeIf(f func(k *link) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = slices.DeleteFunc(s.idle, func(k *link) bool {
		if !f(k) {
			return false
		}
		k.conn.Close()
		return true
	})
}

// pop removes and returns the next connection for the call with the given id, or
// nil if none is idle on which that call has not failed yet. In that case it closes
// one of the others, so that there are never more connections than calls at once.
func (s *linkSet) pop(now time.Time, id mwid.RequestID) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = now
	for n := range s.idle {
		if s.cfg.lifo {
			n = len(s.idle) - 1 - n
		}
		if k := s.idle[n]; !k.failed.Has(id) {
			s.idle = slices.Delete(s.idle, n, n+1)
			return k
		}
	}
	if len(s.idle) > 0 {
		s.idle[0].conn.Close()
		s.idle = slices.Delete(s.idle, 0, 1)
	}
	return nil
}

func (s *linkSet) push(k *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, k)
}

// acquire returns a usable idle connection for the call with the given id, or opens
// one if there is none.
func (s *linkSet) acquire(ctx context.Context, id mwid.RequestID) (*link, error) {
	for now := time.Now(); ; {
		k := s.pop(now, id)
		if k == nil {
			return s.dial(ctx)
		}
		if now.Before(k.expires) && k.noPendingInput() {
			return k, nil
		}
		k.conn.Close()
	}
}

func (s *linkSet) dial(ctx context.Context) (*link, error) {
	d := net.Dialer{Timeout: s.cfg.dialTimeout, KeepAlive: keepAlivePeriod, Control: setUnackedTimeout}
	nc, err := d.DialContext(ctx, "tcp", string(s.addr))
	if err != nil {
		code := mwcode.ConnectFailed
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			code = mwcode.DeadlinePassed
		case ctx.Err() != nil:
			code = mwcode.CallerGone
		}
		return nil, mwcode.New(code, mwcode.Wrap(err))
	}
	conn := mwconn.NewClientConn(nc)
	return &link{
		set: s, conn: conn, r: mwconn.NewAnswerReader(conn, linkBufferSize), failed: mwset.New[mwid.RequestID](),
	}, nil
}

// noPendingInput reports whether an idle connection has nothing to read: neither
// the end of the stream nor bytes that no call asked for.
func (k *link) noPendingInput() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	sc, ok := k.conn.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// release returns the connection to its set if it is usable after resp, the answer
// to the call with the given id, and closes it otherwise.
func (k *link) release(id mwid.RequestID, resp *http.Response) {
	if id != "" && resp.StatusCode >= http.StatusBadRequest {
		k.failed.Add(id)
	}
	if resp.Close || k.r.Buffered() > 0 || len(k.failed) >= maxFailed {
		k.conn.Close()
		return
	}
	k.lastAnswer = time.Now()
	k.expires = k.lastAnswer.Add(k.set.cfg.idleTimeout(resp.Header))
	k.set.push(k)
}

// idleTimeout returns how long a connection may stay idle after an answer with
// headers h.
func (c linkConfig) idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return max(time.Duration(n)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return c.defaultIdleTimeout
}
