// Package mwproxy is a loopback proxy for TCP that harms the connections
// through it: it delays, resets, cuts one way and silences them.
package mwproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is a way through a connection.
type Direction int

// Directions.
const (
	ToServer Direction = iota // ToServer is from who opened the connection.
	ToClient
)

// Proxy passes connections on to one address. Bytes that a fault holds up are
// kept and go on where the fault ends, as those that a network loses are sent
// again.
type Proxy struct {
	ln     net.Listener
	target string
	wg     sync.WaitGroup

	mu      sync.Mutex
	changed chan struct{} // changed is closed when a fault starts or ends.
	delay   time.Duration
	cuts    [2]int // cuts counts the faults that hold up a direction.
	conns   map[*pair]struct{}
}

// pair is one connection through a Proxy.
type pair struct {
	client, server net.Conn
	silent         bool // silent is for good.
}

func (p *pair) close() {
	p.client.Close()
	p.server.Close()
}

// New serves a proxy to an address on a free loopback port. The returned
// function ends it and closes its connections.
func New(to string) (*Proxy, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("mwproxy: %w", err)
	}
	p := &Proxy{ln: ln, target: to, changed: make(chan struct{}), conns: make(map[*pair]struct{})}
	p.wg.Go(p.accept)
	return p, p.close, nil
}

// Address returns "IP:port".
func (p *Proxy) Address() string { return p.ln.Addr().String() }

func (p *Proxy) close() {
	p.ln.Close()
	p.mu.Lock()
	p.target = ""
	for c := range p.conns {
		c.close()
	}
	p.wake()
	p.mu.Unlock()
	p.wg.Wait()
}

// wake lets held up bytes look again; the caller holds the lock.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// update runs f under the lock.
func (p *Proxy) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.wake()
}

// Delay holds up each piece of bytes for d, until the returned function is
// called.
func (p *Proxy) Delay(d time.Duration) func() {
	p.update(func() { p.delay += d })
	return func() { p.update(func() { p.delay -= d }) }
}

// Cut holds up all bytes in the directions, until the returned function is
// called.
func (p *Proxy) Cut(ds ...Direction) func() {
	add := func(n int) {
		p.update(func() {
			for _, d := range ds {
				p.cuts[d] += n
			}
		})
	}
	add(1)
	return func() { add(-1) }
}

// Silence makes the present connections silent for good, without a reset; new
// ones work.
func (p *Proxy) Silence() {
	p.update(func() {
		for c := range p.conns {
			c.silent = true
		}
	})
}

// Reset resets the present connections.
func (p *Proxy) Reset() {
	p.update(func() {
		for c := range p.conns {
			for _, conn := range []net.Conn{c.client, c.server} {
				if t, ok := conn.(*net.TCPConn); ok {
					t.SetLinger(0)
				}
			}
			c.close()
		}
	})
}

func (p *Proxy) accept() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return // The proxy is closed.
		}
		p.wg.Go(func() { p.serve(conn) })
	}
}

// dialTimeout bounds the opening of a connection on loopback.
const dialTimeout = 2 * time.Second

func (p *Proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		if t, ok := client.(*net.TCPConn); ok {
			t.SetLinger(0) // As a port with no listener.
		}
		client.Close()
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	closed := p.target == ""
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	if closed {
		c.close()
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, server, client, ToServer) })
	wg.Go(func() { p.forward(c, client, server, ToClient) })
	wg.Wait()
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// bufferBytes is the size of a piece of bytes.
const bufferBytes = 32 << 10

// forward copies bytes of c from src to dst until one of them ends, and then lets
// the other direction go on as TCP does.
func (p *Proxy) forward(c *pair, dst, src net.Conn, d Direction) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if !p.wait(c, d) {
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				c.close()
				return
			}
		}
		if err != nil {
			if t, ok := dst.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
	}
}

// wait holds up bytes of c as the faults say, and tells whether they may go on.
func (p *Proxy) wait(c *pair, d Direction) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		p.mu.Lock()
		held, changed, closed := c.silent || p.cuts[d] > 0, p.changed, p.target == ""
		p.mu.Unlock()
		if closed {
			return false
		}
		if !held {
			return true
		}
		<-changed
	}
}
