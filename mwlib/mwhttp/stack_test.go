package mwhttp_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	_ "mustardwheel.example/mwlib/mwadmit"
	"mustardwheel.example/mwlib/mwcall"
	_ "mustardwheel.example/mwlib/mwclass"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
	_ "mustardwheel.example/mwlib/mwretry"
	_ "mustardwheel.example/mwlib/mwroute"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// service is the service that the tests call.
const service mwid.ServiceName = "auftrag"

// documents make GET requests repeatable with a budget of one retry. The service checked
// has a health path.
const documents = `
{"Kind": "Service", "Name": "checked", "Spec": {"Connections": 20, "HealthPath": "/health"}}
{"Kind": "RequestLabel", "Name": "reads", "Spec": {"Method": "GET", "Labels": {"Work": "read"}}}
{"Kind": "Selector", "Name": "reads", "Spec": {"On": "Request", "Terms": [{"Label": "Work", "In": ["read"]}]}}
{"Kind": "Policy", "Name": "reads", "Spec": {"Requests": "reads", "Repeatable": true, "Retries": 1}}
`

// cluster is the membership and configuration that all nodes of one test share.
type cluster struct {
	mu      sync.Mutex
	targets []mwcall.Target
	snap    *mwconfig.Snapshot
}

// clusters maps the availability zone of each running test to its cluster. Each
// test has a zone of its own.
var clusters sync.Map

func init() {
	mwkernel.Memberships.Register("test", func(e mwkernel.Env) (mwkernel.Membership, mwregistry.Cleanup, error) {
		v, _ := clusters.Load(e.Settings.Place.Zone)
		return &member{cluster: v.(*cluster), self: mwcall.Target{
			Node: e.Node, Peer: e.Settings.Listen.Peer,
			Zone: e.Settings.Place.Zone, Region: e.Settings.Place.Region,
		}}, func() {}, nil
	})
	mwkernel.Configurations.Register("test", func(e mwkernel.Env) (mwkernel.Configuration, mwregistry.Cleanup, error) {
		v, _ := clusters.Load(e.Settings.Place.Zone)
		return v.(*cluster), func() {}, nil
	})
	mwkernel.Ledgers.Register("test", func(mwkernel.Env) (mwkernel.Ledger, mwregistry.Cleanup, error) {
		return &ledger{kept: make(map[mwid.CallKey]*entry)}, func() {}, nil
	})
}

// Snapshot returns the configuration of all nodes.
func (c *cluster) Snapshot() *mwconfig.Snapshot { return c.snap }

// member is the membership of one node.
type member struct {
	*cluster
	mwkernel.Membership
	self mwcall.Target
}

func (m *member) Targets(s mwid.ServiceName) []mwcall.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets
}

func (m *member) Announce(a mwcall.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.self
	t.Service, t.Slots, t.Connections = a.Service, a.Slots, a.Connections
	for i := range m.targets {
		if m.targets[i].Node == t.Node {
			m.targets[i] = t
			return
		}
	}
	m.targets = append(m.targets, t)
}

func (m *member) Withdraw(mwid.ServiceName) {}
func (m *member) Leave()                    {}

// ledger keeps answers in memory. A claim of a key that is already claimed
// waits for the answer.
type ledger struct {
	mu   sync.Mutex
	kept map[mwid.CallKey]*entry
}

// entry is one key; done is closed when its answer has been stored.
type entry struct {
	done   chan struct{}
	answer mwcall.EncodedAnswer
}

func (l *ledger) Claim(ctx context.Context, c *mwcall.Call) (mwkernel.Claim, error) {
	l.mu.Lock()
	e, again := l.kept[c.Key]
	if !again {
		e = &entry{done: make(chan struct{})}
		l.kept[c.Key] = e
	}
	l.mu.Unlock()
	if !again {
		return &claim{l: l, key: c.Key, e: e}, nil
	}
	select {
	case <-e.done:
		return &claim{l: l, key: c.Key, e: e, earlier: e.answer}, nil
	case <-ctx.Done():
		return nil, mwcode.New(mwcode.Held)
	}
}

type claim struct {
	l       *ledger
	key     mwid.CallKey
	e       *entry
	earlier mwcall.EncodedAnswer
}

func (c *claim) StoredAnswer() (mwcall.EncodedAnswer, bool) { return c.earlier, c.earlier != nil }
func (c *claim) Begin() error                               { return nil }

func (c *claim) RecordNotRun(context.Context) error {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	delete(c.l.kept, c.key)
	return nil
}

func (c *claim) Finish(_ context.Context, k mwcall.EncodedAnswer) error {
	c.e.answer = k
	close(c.e.done)
	return nil
}

// stack is an entry node, and the node of one target with its backend server.
type stack struct {
	entry  *httptest.Server
	direct *httptest.Server // entry listener of the target's node
	peer   *httptest.Server
	target *mwkernel.Kernel
}

// newStack starts a stack whose backend server is backend. The options are those of
// the front ends of both nodes.
func newStack(t testing.TB, backend http.Handler, opts ...mwhttp.Option) *stack {
	c := qt.New(t)
	zone := newZone(t)
	b := httptest.NewServer(backend)
	t.Cleanup(b.Close)
	s := &stack{}
	front, _ := newNode(c, zone, opts...)
	s.entry = serve(t, front.Entry())
	peer := &deferredHandler{}
	s.peer = serve(t, peer)
	targetFront, k := newNodeAt(c, zone, address(s.peer), opts...)
	peer.set(targetFront.Peer())
	s.direct = serve(t, targetFront.Entry())
	s.target = k
	c.Assert(k.Announce(mwcall.Announcement{
		Service: service, Address: address(b), Slots: 8, Connections: 8, TTL: mwkernel.MaxTTL,
	}), qt.IsNil)
	return s
}

// announce makes the server that listens on ln the backend server of the target, with
// one connection for each slot.
func (s *stack) announce(c *qt.C, ln net.Listener, slots mwunit.Slots) {
	c.Assert(s.target.Announce(mwcall.Announcement{
		Service: service, Address: mwid.Address(ln.Addr().String()),
		Slots: slots, Connections: mwunit.Connections(slots), TTL: mwkernel.MaxTTL,
	}), qt.IsNil)
}

// newZone creates the cluster of one test and returns its availability zone.
func newZone(t testing.TB) mwid.ZoneName {
	c := qt.New(t)
	docs, err := mwconfig.Decode("documents", strings.NewReader(documents))
	c.Assert(err, qt.IsNil)
	snap, err := mwconfig.Compile(1, docs)
	c.Assert(err, qt.IsNil)
	zone := mwid.ZoneName(t.Name())
	clusters.Store(zone, &cluster{snap: snap})
	return zone
}

func serve(t testing.TB, h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	l := mwconn.NewListener(s.Listener)
	l.Attach(s.Config)
	s.Listener = l
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// deferredHandler is a handler that is set after its server has started.
type deferredHandler struct {
	mu sync.Mutex
	h  http.Handler
}

func (l *deferredHandler) set(h http.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h = h
}

func (l *deferredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	h := l.h
	l.mu.Unlock()
	h.ServeHTTP(w, r)
}

func address(s *httptest.Server) mwid.Address {
	return mwid.Address(strings.TrimPrefix(s.URL, "http://"))
}

func newNode(c *qt.C, zone mwid.ZoneName, opts ...mwhttp.Option) (*mwhttp.Front, *mwkernel.Kernel) {
	return newNodeAt(c, zone, "127.0.0.1:1", opts...)
}

// newNodeAt returns a node whose peer listener is at addr.
func newNodeAt(c *qt.C, zone mwid.ZoneName, addr mwid.Address, opts ...mwhttp.Option) (*mwhttp.Front, *mwkernel.Kernel) {
	set := mwsetting.Default()
	set.Place.Zone = zone
	set.Listen.Peer = addr
	set.Plugins.Membership, set.Plugins.Configuration, set.Plugins.Ledger = "test", "test", "test"
	k, stop, err := mwkernel.New(set, mwkernel.WithLog(slog.New(slog.DiscardHandler)),
		mwkernel.WithMetrics(metrics.NewSet()))
	c.Assert(err, qt.IsNil)
	c.Cleanup(stop)
	f, stopFront := mwhttp.New(k, set.Relay, opts...)
	c.Cleanup(stopFront)
	return f, k
}

// url returns the URL of the target's node if direct is set, and else of the entry node.
func (s *stack) url(direct bool) string {
	if direct {
		return s.direct.URL
	}
	return s.entry.URL
}

// request returns a request to the entry node.
func (s *stack) request(c *qt.C, method, path string, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, s.entry.URL+path, body)
	c.Assert(err, qt.IsNil)
	r.Header.Set(mwhttp.HeaderService, string(service))
	r.Header.Set(mwhttp.HeaderCaller, "shop-1")
	return r
}

// do sends r and returns the answer with its body.
func do(c *qt.C, r *http.Request) (*http.Response, string) {
	resp, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp, string(b)
}
