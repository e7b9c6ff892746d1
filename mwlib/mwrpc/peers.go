// Package mwrpc carries control messages between nodes as net/rpc calls. A node
// connects to the peer listener of another node, and a CONNECT request switches
// that connection to net/rpc.
package mwrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwshard"
)

// Path is the path of the CONNECT request that switches a connection to the
// peer listener to control messages.
const Path = "/mw/rpc"

// maxCallTime is the maximum duration of a call.
const maxCallTime = 10 * time.Second

// handshakeBufferSize is the size in bytes of the buffer for the answer to a
// CONNECT request.
const handshakeBufferSize = 512

// connectedStatus is the status of the answer that accepts a CONNECT request.
const connectedStatus = "200 Connected"

// Peers serves and makes calls of net/rpc. It keeps one connection to each peer,
// which all calls to that peer share. net/rpc has no deadlines of its own, so
// Peers limits the duration of each call. A call that times out closes its
// connection, because that connection may be permanently silent.
type Peers struct {
	server  *rpc.Server
	clients *mwshard.Map[mwid.Address, *client]

	mu     sync.Mutex
	conns  map[net.Conn]struct{} // accepted connections
	closed bool
}

// New returns a Peers. The returned function closes all connections.
func New() (*Peers, func()) {
	p := &Peers{
		server:  rpc.NewServer(),
		clients: mwshard.New[mwid.Address, *client](mwshard.DefaultShards),
		conns:   make(map[net.Conn]struct{}),
	}
	return p, p.close
}

// Handle serves the methods of rcvr under name, with the rules of net/rpc.
func (p *Peers) Handle(name string, rcvr any) error {
	if err := p.server.RegisterName(name, rcvr); err != nil {
		return fmt.Errorf("mwrpc: register service %s: %w", name, err)
	}
	return nil
}

// ServeHTTP takes over the connection of a CONNECT request to Path and
// serves calls on it until it closes.
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		http.Error(w, "CONNECT only", http.StatusMethodNotAllowed)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if !p.track(conn) {
		conn.Close()
		return
	}
	defer p.untrack(conn)
	conn.SetDeadline(time.Time{})
	if _, err := fmt.Fprintf(conn, "HTTP/1.0 %s\r\n\r\n", connectedStatus); err != nil {
		conn.Close()
		return
	}
	p.server.ServeConn(conn)
}

func (p *Peers) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Peers) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Peers) close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.clients.Range(func(a mwid.Address, c *client) bool {
		c.close()
		return true
	})
}

// Call calls method, of the form "Name.Method", at addr with req and stores the
// answer in res. It returns the method's error, or an error with the code
// mwcode.Unreachable.
func (p *Peers) Call(ctx context.Context, addr mwid.Address, method string, req, res any) error {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	c := p.clients.GetOrSet(addr, func() *client { return &client{addr: addr} })
	conn, err := c.get(ctx)
	if err != nil {
		return unreachable(err)
	}
	// net/rpc may still write a late answer after ctx is done, so it gets a
	// separate value to write to in place of res.
	reply := reflect.New(reflect.TypeOf(res).Elem())
	call := conn.Go(method, req, reply.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.drop(conn)
		return unreachable(ctx.Err())
	case <-call.Done:
	}
	if call.Error == nil {
		reflect.ValueOf(res).Elem().Set(reply.Elem())
		return nil
	}
	var server rpc.ServerError
	if errors.As(call.Error, &server) {
		return fmt.Errorf("mwrpc: %s at %s: %w", method, addr, server)
	}
	c.drop(conn)
	return unreachable(call.Error)
}

func unreachable(err error) error {
	return mwcode.New(mwcode.Unreachable, mwcode.Wrap(err))
}

// client is the connection to one peer.
type client struct {
	addr mwid.Address
	mu   sync.Mutex
	rpc  *rpc.Client
	// dialing is closed when the dial in progress ends; nil if there is none.
	dialing chan struct{}
}

// get returns the connection and dials if there is none. One goroutine dials,
// without holding the lock; the others wait for it.
func (c *client) get(ctx context.Context) (*rpc.Client, error) {
	for {
		c.mu.Lock()
		if c.rpc != nil {
			defer c.mu.Unlock()
			return c.rpc, nil
		}
		wait := c.dialing
		if wait == nil {
			c.dialing = make(chan struct{})
			c.mu.Unlock()
			return c.dial(ctx)
		}
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *client) dial(ctx context.Context) (*rpc.Client, error) {
	conn, err := connect(ctx, c.addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	if err != nil {
		return nil, err
	}
	c.rpc = rpc.NewClient(conn)
	return c.rpc, nil
}

// connect opens a connection for control messages to addr.
func connect(ctx context.Context, addr mwid.Address) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, err
	}
	if t, ok := ctx.Deadline(); ok {
		conn.SetDeadline(t)
	}
	if err := handshake(conn); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return conn, nil
}

func handshake(conn net.Conn) error {
	if _, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.0\r\n\r\n", Path); err != nil {
		return err
	}
	req := &http.Request{Method: http.MethodConnect}
	resp, err := mwconn.NewAnswerReader(conn, handshakeBufferSize).ReadResponse(req)
	if err != nil {
		return err
	}
	if resp.Status != connectedStatus {
		return fmt.Errorf("mwrpc: unexpected status %q in the answer to CONNECT", resp.Status)
	}
	return nil
}

// drop closes r and no longer uses it for calls.
func (c *client) drop(r *rpc.Client) {
	c.mu.Lock()
	if c.rpc == r {
		c.rpc = nil
	}
	c.mu.Unlock()
	r.Close()
}

func (c *client) close() {
	c.mu.Lock()
	r := c.rpc
	c.rpc = nil
	c.mu.Unlock()
	if r != nil {
		r.Close()
	}
}
