package mwcluster

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwmemnet"
	"mustardwheel.example/mwlib/mwunit"
)

// Silencer models the connections between nodes: one from each node to each peer
// that it calls. Silence makes open connections silent for good. A call that
// times out closes its connection, which ends the other calls on it, and the next
// call opens a new one.
type Silencer struct {
	mu    sync.Mutex
	conns map[pair]*conn
	rnd   *rand.Rand
}

// pair is a node and a peer that it calls.
type pair struct{ from, to mwid.Address }

// compare orders pairs by their addresses.
func (p pair) compare(q pair) int {
	return cmp.Or(cmp.Compare(p.from, q.from), cmp.Compare(p.to, q.to))
}

// conn is one connection; calls on it end when it is closed.
type conn struct {
	silent bool
	closed chan struct{}
}

// NewSilencer returns a Silencer without connections.
func NewSilencer() *Silencer {
	return &Silencer{conns: make(map[pair]*conn), rnd: rand.New(rand.NewPCG(1, 1))}
}

// Silence makes a share of the open connections silent.
func (s *Silencer) Silence(share mwunit.Ratio) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range slices.SortedFunc(maps.Keys(s.conns), pair.compare) {
		if s.rnd.Float64() < float64(share) {
			s.conns[k].silent = true
		}
	}
}

// Wrap returns p, the network of the node at a place, over connections of s. It is meant
// for WithPeersWrapper.
func (s *Silencer) Wrap(p mwkernel.Peers, at mwmemnet.Place) mwkernel.Peers {
	return &silencedPeers{p, s, at.Address}
}

// silencedPeers is the network of one node.
type silencedPeers struct {
	mwkernel.Peers
	s    *Silencer
	from mwid.Address
}

// conn returns the open connection to addr and whether it is silent.
func (p *silencedPeers) conn(addr mwid.Address) (*conn, bool) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	k := pair{p.from, addr}
	c := p.s.conns[k]
	if c == nil {
		c = &conn{closed: make(chan struct{})}
		p.s.conns[k] = c
	}
	return c, c.silent
}

// drop closes c.
func (p *silencedPeers) drop(addr mwid.Address, c *conn) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	k := pair{p.from, addr}
	if p.s.conns[k] == c {
		delete(p.s.conns, k)
		close(c.closed)
	}
}

// Call calls method at addr over the connection to it.
func (p *silencedPeers) Call(ctx context.Context, addr mwid.Address, method string, req, res any) error {
	c, silent := p.conn(addr)
	if silent {
		select {
		case <-ctx.Done():
		case <-c.closed:
		}
		p.drop(addr, c)
		return mwcode.New(mwcode.Unreachable, mwcode.Field(string(addr)))
	}
	err := p.Peers.Call(ctx, addr, method, req, res)
	if ctx.Err() != nil {
		p.drop(addr, c)
	}
	return err
}
