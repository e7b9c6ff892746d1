// Package mwproxy implements a loopback TCP proxy that injects faults into the
// connections through it: delays, resets, blocked directions and connections
// that go silent.
package mwproxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is a direction in which the bytes of a connection flow.
type Direction int

// Directions.
const (
	ToServer Direction = iota // ToServer is from the side that opened the connection to the other side.
	ToClient
)

// Proxy forwards connections to one address. It buffers the bytes that a fault
// holds up and forwards them when the fault ends, as TCP retransmits segments
// that a network loses.
type Proxy struct {
	ln     net.Listener
	target string // target is empty after the proxy is closed.
	wg     sync.WaitGroup

	mu      sync.Mutex
	changed chan struct{} // changed is closed when a fault starts or ends.
	delay   time.Duration
	cuts    [2]int // cuts counts the faults that block each direction.
	conns   map[*pair]struct{}
}

// pair is the two sides of one proxied connection.
type pair struct {
	client, server net.Conn
	silent         bool // silent stays set until the connection ends.
}

func (p *pair) close() {
	p.client.Close()
	p.server.Close()
}

// New starts a proxy to an address on a free loopback port. The returned
// function stops the proxy and closes its connections.
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

// wake makes the goroutines blocked in wait check the faults again. The caller
// holds p.mu.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// update runs f, which changes the faults, under the lock and wakes the blocked
// goroutines.
func (p *Proxy) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.wake()
}

// Delay holds up each chunk of at most bufferBytes for d, until the returned
// function is called. Concurrent delays add up.
func (p *Proxy) Delay(d time.Duration) func() {
	p.update(func() { p.delay += d })
	return func() { p.update(func() { p.delay -= d }) }
}

// Cut blocks the given directions until the returned function is called.
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

// Silence permanently stops all bytes of the current connections, without a
// reset. New connections work.
func (p *Proxy) Silence() {
	p.update(func() {
		for c := range p.conns {
			c.silent = true
		}
	})
}

// Reset resets the current connections.
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

// dialTimeout limits the time to open a connection on loopback.
const dialTimeout = 2 * time.Second

func (p *Proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		if t, ok := client.(*net.TCPConn); ok {
			t.SetLinger(0) // Reset the connection, as a port without a listener does.
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

// bufferBytes is the maximum size of a chunk that is forwarded at once.
const bufferBytes = 32 << 10

// forward copies the bytes of c from src to dst until src ends or dst fails. At
// the end of src it closes only the write side of dst, so that the other
// direction stays open as in a half-closed TCP connection.
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

// wait blocks while faults hold up the bytes of c in direction d. It reports
// whether to forward them; it returns false if the proxy is closed.
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
