package mwmemnet

import (
	"context"
	"net"
	"sync"
)

// Listener is a net.Listener whose connections are pipes in memory, so that a
// server and its clients run in virtual time.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*Listener)(nil)

// NewListener returns an open Listener.
func NewListener() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the client's side of a new connection once the server has accepted
// it. It ignores the network and the address. Its error is that of ctx, or
// net.ErrClosed.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the server's side of the next connection, or net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the Listener. Connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an empty address.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
