// Package mwmemnet simulates networks in memory, so that tests run in virtual time:
// the one between nodes, whose latency, message loss and partitions a test sets, and
// the connections of a server.
package mwmemnet

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Place is the location of a peer.
type Place struct {
	Address mwid.Address
	Zone    mwid.ZoneName
	Region  mwid.RegionName
}

// Network connects peers. The loss of a message is not reported: the call fails
// only at the caller's own deadline. Requests and replies are encoded and decoded
// as net/rpc does on a connection that stays open, so that their size and
// processing cost are realistic.
type Network struct {
	peers   *mwshard.Map[mwid.Address, *Peer]
	codecs  *mwshard.Map[string, *codecs]
	latency func(from, to Place) time.Duration
	mu      sync.Mutex
	rnd     *rand.Rand
	lost    func(from, to Place) bool
}

// Default one-way latencies, as specified for the platform.
const (
	SameZone    = 100 * time.Microsecond
	SameRegion  = 250 * time.Microsecond
	OtherRegion = 10 * time.Millisecond
)

// Latency returns the one-way latency between two places.
func Latency(from, to Place) time.Duration {
	switch {
	case from.Zone == to.Zone:
		return SameZone
	case from.Region == to.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

// WithLatency sets the function that returns one-way latencies. The default is
// Latency.
func WithLatency(f func(from, to Place) time.Duration) mwoption.Option[Network] {
	return func(n *Network) { n.latency = f }
}

// New returns a Network without peers. seed initializes the random source of
// Chance.
func New(seed uint64, opts ...mwoption.Option[Network]) *Network {
	n := &Network{
		peers:   mwshard.New[mwid.Address, *Peer](mwshard.DefaultShards),
		codecs:  mwshard.New[string, *codecs](mwshard.DefaultShards),
		latency: Latency,
		rnd:     rand.New(rand.NewPCG(seed, seed)),
	}
	mwoption.Apply(n, opts...)
	return n
}

// SetLoss sets the function that reports whether a message is lost. It is
// called for each direction separately. If f is nil, no message is lost.
func (n *Network) SetLoss(f func(from, to Place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = f
}

// Chance returns true with probability p, drawn from the seeded random source
// of n. It is meant for the function given to SetLoss, which runs under the
// lock of n; elsewhere it is not safe for concurrent use.
func (n *Network) Chance(p mwunit.Ratio) bool { return n.rnd.Float64() < float64(p) }

func (n *Network) isLost(from, to Place) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost != nil && n.lost(from, to)
}

// Join returns a new peer at p, which replaces an earlier one at the same
// address. The returned function removes it from the network.
func (n *Network) Join(p Place) (*Peer, func()) {
	x := &Peer{net: n, place: p, handlers: mwshard.New[Method, reflect.Value](1), traffic: mwshard.New[Method, Traffic](1)}
	n.peers.Set(p.Address, x)
	return x, func() {
		n.peers.Update(p.Address, func(y *Peer, ok bool) (*Peer, bool) { return y, ok && x != y })
	}
}

// Peer is the connection of one peer to the Network; it implements
// mwkernel.Peers.
type Peer struct {
	net      *Network
	place    Place
	handlers *mwshard.Map[Method, reflect.Value]
	traffic  *mwshard.Map[Method, Traffic]
}

// Method is the name of a method in the form of net/rpc, such as "Member.Ping".
type Method string

// Traffic counts calls and bytes, without the headers of TCP/IP.
type Traffic struct {
	Calls    int
	Served   int
	Sent     mwunit.Bytes
	Received mwunit.Bytes
}

// Traffic returns the total traffic of p.
func (p *Peer) Traffic() Traffic {
	var sum Traffic
	p.traffic.Range(func(_ Method, t Traffic) bool {
		sum = sum.add(t)
		return true
	})
	return sum
}

// MethodTraffic returns the traffic of p for method m.
func (p *Peer) MethodTraffic(m Method) Traffic {
	t, _ := p.traffic.Get(m)
	return t
}

// Methods returns the methods that p called or served, sorted.
func (p *Peer) Methods() []Method {
	var out []Method
	p.traffic.Range(func(m Method, _ Traffic) bool {
		out = append(out, m)
		return true
	})
	slices.Sort(out)
	return out
}

func (t Traffic) add(u Traffic) Traffic {
	t.Calls += u.Calls
	t.Served += u.Served
	t.Sent += u.Sent
	t.Received += u.Received
	return t
}

func (p *Peer) count(m Method, u Traffic) {
	p.traffic.Update(m, func(t Traffic, _ bool) (Traffic, bool) { return t.add(u), true })
}

// typicalSeq is the sequence number in the headers of all calls. It is that of a
// connection that has been in use for some time, since gob encodes larger numbers
// in more bytes.
const typicalSeq = 1000

// Handle serves the methods of rcvr under name.
func (p *Peer) Handle(name string, rcvr any) error {
	v := reflect.ValueOf(rcvr)
	for i := range v.NumMethod() {
		p.handlers.Set(Method(name+"."+v.Type().Method(i).Name), v.Method(i))
	}
	return nil
}

// Call calls method at addr. It returns an error with code mwcode.Unreachable
// at the deadline of ctx if the request or the reply is lost.
func (p *Peer) Call(ctx context.Context, addr mwid.Address, method string, req, res any) error {
	n, m := p.net, Method(method)
	to := Place{Address: addr}
	q, ok := n.peers.Get(addr)
	if ok {
		to = q.place
	}
	size, arg := n.codecsOf(method, "request").roundTrip(&rpc.Request{ServiceMethod: method, Seq: typicalSeq}, req)
	p.count(m, Traffic{Calls: 1, Sent: size})
	if err := n.deliver(ctx, p, to, ok); err != nil {
		return err
	}
	f, ok := q.handlers.Get(m)
	if !ok {
		return mwcode.New(mwcode.Internal, mwcode.Field(method))
	}
	q.count(m, Traffic{Served: 1, Received: size})
	out := reflect.New(f.Type().In(1).Elem())
	if err, _ := f.Call([]reflect.Value{arg, out})[0].Interface().(error); err != nil {
		return err
	}
	size, back := n.codecsOf(method, "reply").roundTrip(&rpc.Response{ServiceMethod: method, Seq: typicalSeq}, out.Interface())
	q.count(m, Traffic{Sent: size})
	if err := n.deliver(ctx, q, p.place, true); err != nil {
		return err
	}
	p.count(m, Traffic{Received: size})
	reflect.ValueOf(res).Elem().Set(back.Elem())
	return nil
}

// deliver simulates the transfer of a message from p to another place by waiting
// for the latency. A message that is lost, that has no receiver (present is
// false) or whose sender has left the network never arrives: deliver then waits
// until ctx is done and returns an error.
func (n *Network) deliver(ctx context.Context, p *Peer, to Place, present bool) error {
	errUnreachable := mwcode.New(mwcode.Unreachable, mwcode.Field(string(to.Address)))
	if x, ok := n.peers.Get(p.place.Address); !ok || x != p {
		present = false
	}
	if !present || n.isLost(p.place, to) {
		<-ctx.Done()
		return errUnreachable
	}
	if !mwtimer.Sleep(ctx, n.latency(p.place, to)) {
		return errUnreachable
	}
	return nil
}

func (n *Network) codecsOf(method, part string) *codecs {
	k := strings.Join([]string{method, part}, " ")
	return n.codecs.GetOrSet(k, func() *codecs { return &codecs{} })
}
