package mwscene

import (
	"syscall"
	"time"

	"mustardwheel.example/mwlib/mwregistry"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwsoak/internal/mwplan"
	"mustardwheel.example/mwsoak/internal/mwproxy"
	"mustardwheel.example/platform/mwstandin"
)

// Fault injects one kind of fault.
type Fault struct {
	// Do injects the fault of an event and returns when it is over.
	Do func(mwplan.Event)
	// Planned reports whether this is planned maintenance rather than a fault;
	// all time limits hold during planned maintenance.
	Planned bool
}

// Faults is the registry of the kinds of faults.
var Faults = mwregistry.New[*Scene, Fault]("fault")

func registryName(k mwplan.Kind) mwregistry.Name { return mwregistry.Name(k) }

// Kinds returns the registered kinds of faults in a fixed order.
func Kinds() []mwplan.Kind {
	var ks []mwplan.Kind
	for _, n := range Faults.Names() {
		ks = append(ks, mwplan.Kind(n))
	}
	return ks
}

// register registers a kind of fault.
func register(k mwplan.Kind, f func(*Scene, mwplan.Event)) { registerKind(k, f, false) }

// registerPlanned registers a kind of planned maintenance.
func registerPlanned(k mwplan.Kind, f func(*Scene, mwplan.Event)) { registerKind(k, f, true) }

func registerKind(k mwplan.Kind, f func(*Scene, mwplan.Event), planned bool) {
	Faults.Register(registryName(k), func(s *Scene) (Fault, mwregistry.Cleanup, error) {
		return Fault{Do: func(e mwplan.Event) { f(s, e) }, Planned: planned}, nil, nil
	})
}

// onNode registers a kind of fault that affects the process of a node or its
// backend server.
func onNode(k mwplan.Kind, f func(*Scene, *node, mwplan.Event)) {
	register(k, func(s *Scene, e mwplan.Event) { f(s, s.nodes[e.Node], e) })
}

// onLink registers a kind of fault that affects a link of a node; wait blocks
// for the duration of the fault.
func onLink(k mwplan.Kind, f func(p *mwproxy.Proxy, wait func())) {
	onNode(k, func(s *Scene, n *node, e mwplan.Event) {
		f(n.links[e.Link], func() { mwtimer.Sleep(s.ctx, e.For) })
	})
}

// onStore registers a kind of fault that affects the store.
func onStore(k mwplan.Kind, f mwstandin.Fault) {
	register(k, func(s *Scene, e mwplan.Event) {
		s.setStoreFault(f)
		mwtimer.Sleep(s.ctx, e.For)
		s.setStoreFault(mwstandin.Fault{})
	})
}

func (s *Scene) setStoreFault(f mwstandin.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Parameters of faults.
const (
	linkDelay  = 150 * time.Millisecond
	storeDelay = 500 * time.Millisecond
	// killDelay is the time from SIGTERM to SIGKILL.
	killDelay = stopGrace
)

func init() {
	onNode("node-kill", func(_ *Scene, n *node, _ mwplan.Event) { n.signal(syscall.SIGKILL) })
	onNode("node-term", func(s *Scene, n *node, _ mwplan.Event) {
		select {
		case <-n.signal(syscall.SIGTERM):
		case <-time.After(killDelay):
			n.signal(syscall.SIGKILL)
		case <-s.ctx.Done():
		}
	})
	onNode("node-pause", func(s *Scene, n *node, e mwplan.Event) {
		n.signal(syscall.SIGSTOP)
		mwtimer.Sleep(s.ctx, e.For)
		n.signal(syscall.SIGCONT)
	})
	onNode("node-hup", func(_ *Scene, n *node, _ mwplan.Event) { n.signal(syscall.SIGHUP) })

	onLink("way-delay", func(p *mwproxy.Proxy, wait func()) { heal := p.Delay(linkDelay); wait(); heal() })
	onLink("way-reset", func(p *mwproxy.Proxy, _ func()) { p.Reset() })
	onLink("way-silence", func(p *mwproxy.Proxy, _ func()) { p.Silence() })
	onLink("way-cut", func(p *mwproxy.Proxy, wait func()) {
		heal := p.Cut(mwproxy.ToServer, mwproxy.ToClient)
		wait()
		heal()
	})
	onLink("way-cut-forth", func(p *mwproxy.Proxy, wait func()) { heal := p.Cut(mwproxy.ToServer); wait(); heal() })
	onLink("way-cut-back", func(p *mwproxy.Proxy, wait func()) { heal := p.Cut(mwproxy.ToClient); wait(); heal() })

	onStore("store-away", mwstandin.Fault{Status: 503})
	onStore("store-busy", mwstandin.Fault{Status: 429})
	onStore("store-silent", mwstandin.Fault{Silent: true})
	onStore("store-lost", mwstandin.Fault{Lost: true})
	onStore("store-slow", mwstandin.Fault{Delay: storeDelay})
	register("store-forget", func(s *Scene, _ mwplan.Event) { s.store.DropHistory() })

	onNode("backend-crash", func(s *Scene, n *node, e mwplan.Event) { n.crashBackend(e.For, "") })
	onNode("backend-again", func(s *Scene, n *node, e mwplan.Event) { n.crashBackend(e.For, "same") })
	registerPlanned("backend-leave", func(s *Scene, e mwplan.Event) { s.nodes[e.Node].replaceBackend() })

	registerPlanned("config", func(s *Scene, _ mwplan.Event) { s.change() })
}
