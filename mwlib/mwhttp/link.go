package mwhttp

import (
	"bufio"
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
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// links keeps the connections to backend servers, and those to other nodes for
// calls with a short body. It reads and writes with net/http's own functions,
// but not through its Transport: a backend server may send an answer twice,
// late or with bytes after its end, and only the owner of the connection can
// pass over an answer that belongs to an earlier call and still read the right
// one. It also has no goroutines for each connection.
type links struct {
	m    *mwshard.Map[mwid.Address, *linkSet]
	rule linkRule
}

// linkRule tells how connections are kept.
type linkRule struct {
	// dial bounds the opening of a connection.
	dial time.Duration
	// idle is how long a connection rests unused where the other side does
	// not say.
	idle time.Duration
	// newest takes the connection that rested shortest, so that those that a
	// peak has opened are given up. Else they are used in turn, so that few
	// of them reach the other side's idle timeout.
	newest bool
}

// Rules of connections.
var (
	backendLinks = linkRule{dial: linkDialTimeout, idle: linkIdle}
	peerLinks    = linkRule{dial: dialTimeout, idle: idleConnTimeout, newest: true}
)

// linkSet is the idle connections to one address.
type linkSet struct {
	addr mwid.Address
	rule linkRule
	mu   sync.Mutex
	idle []*link
	used time.Time
}

// link is one connection, used by one call at a time.
type link struct {
	set      *linkSet
	conn     net.Conn
	r        *bufio.Reader
	until    time.Time // until is when the other side may close it.
	answered time.Time // answered is when its last answer ended.
}

// Times of connections to backend servers.
const (
	// linkDialTimeout bounds the opening of a connection within the VM.
	linkDialTimeout = 500 * time.Millisecond
	// linkIdle is how long a connection to a backend server rests unused where
	// that does not say.
	linkIdle = 8 * time.Second
	// linkMargin is how long before the backend server's own idle timeout a
	// connection is given up.
	linkMargin = 1500 * time.Millisecond
	// linkBuffer is the size in bytes of a connection's read buffer.
	linkBuffer = 4 << 10
	// inlineBody is the largest body in bytes that is written before the
	// answer is read: it fits into the window of any connection.
	inlineBody = 4 << 10
	// strayBytes is the largest answer to another call that is read to its
	// end to reach the next one.
	strayBytes = 1 << 20
)

func newLinks(r linkRule) *links {
	return &links{m: mwshard.New[mwid.Address, *linkSet](mwshard.DefaultShards), rule: r}
}

func (l *links) set(addr mwid.Address) *linkSet {
	return l.m.GetOrSet(addr, func() *linkSet { return &linkSet{addr: addr, rule: l.rule} })
}

// sweep closes what was unused for too long.
func (l *links) sweep(now time.Time) {
	l.m.DeleteFunc(func(_ mwid.Address, s *linkSet) bool {
		s.expire(now)
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
	return len(s.idle) == 0 && now.Sub(s.used) > unusedTransport
}

// expire closes the connections that rested for too long.
func (s *linkSet) expire(now time.Time) {
	s.closeIf(func(k *link) bool { return !now.Before(k.until) })
}

// dropSilent closes the idle connections that have not answered since a call
// began that got no answer in time: they may be as dead as that call's own.
// Those that have answered since work, and the call met a slow answer alone.
func (s *linkSet) dropSilent(began time.Time) {
	s.closeIf(func(k *link) bool { return k.answered.Before(began) })
}

// closeIf closes the idle connections for which f is true.
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

// pop returns the next connection to use, or nil.
func (s *linkSet) pop(now time.Time) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = now
	if len(s.idle) == 0 {
		return nil
	}
	if last := len(s.idle) - 1; s.rule.newest {
		k := s.idle[last]
		s.idle[last] = nil
		s.idle = s.idle[:last]
		return k
	}
	k := s.idle[0]
	s.idle = s.idle[1:]
	return k
}

func (s *linkSet) push(k *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, k)
}

// take returns a connection that is sound, opening one where none is idle.
func (s *linkSet) take(ctx context.Context) (*link, error) {
	for now := time.Now(); ; {
		k := s.pop(now)
		if k == nil {
			return s.dial(ctx)
		}
		if now.Before(k.until) && k.quiet() {
			return k, nil
		}
		k.conn.Close()
	}
}

func (s *linkSet) dial(ctx context.Context) (*link, error) {
	d := net.Dialer{Timeout: s.rule.dial, KeepAlive: keepAlivePeriod, Control: setUnackedTimeout}
	conn, err := d.DialContext(ctx, "tcp", string(s.addr))
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
	return &link{set: s, conn: conn, r: bufio.NewReaderSize(conn, linkBuffer)}, nil
}

// quiet tells whether nothing came on an idle connection: neither its end nor
// bytes that no call asked for.
func (k *link) quiet() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	sc, ok := k.conn.(*net.TCPConn)
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

// rest puts the connection back where resp leaves it usable.
func (k *link) rest(resp *http.Response) {
	if resp.Close || k.r.Buffered() > 0 {
		k.conn.Close()
		return
	}
	k.answered = time.Now()
	k.until = k.answered.Add(k.set.rule.idleOf(resp.Header))
	k.set.push(k)
}

// idleOf returns how long a connection may rest after an answer with h.
func (r linkRule) idleOf(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return max(time.Duration(n)*time.Second-linkMargin, 0)
		}
	}
	return r.idle
}
