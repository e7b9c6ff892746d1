package mwscene

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwsoak/internal/mwcheck"
	"mustardwheel.example/mwsoak/internal/mwproxy"
	"mustardwheel.example/platform/mwstandin"
)

// Indexes of the connections of a node that go through a proxy. Links is the
// number of these connections.
const (
	linkEntry   = iota // From callers.
	linkPeer           // From other nodes.
	linkStore          // To the store.
	linkControl        // From the node's backend server, for its announcements.
	Links
)

// node is one VM: the process of a node, the proxies on its links, and its
// backend server. The process is restarted whenever it ends.
type node struct {
	s            *Scene
	index        int
	addresses    [5]string // Addresses of entry, peer, admin, control and ready.
	links        [Links]*mwproxy.Proxy
	entryAddress string // entryAddress is where callers reach the node.
	cleanups     []func()
	log          *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{} // done is closed when cmd has exited.
	starts  int
	stopped bool
	backend *backend
}

// Times of a node's process, equal to the platform's.
const (
	restartDelay = 500 * time.Millisecond
	stopGrace    = 6 * time.Second
)

func (s *Scene) newNode(index int) (*node, error) {
	n := &node{s: s, index: index}
	for i := range n.addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		n.addresses[i] = a
	}
	for i, to := range [Links]string{n.addresses[0], n.addresses[1], s.storeAddress, n.addresses[3]} {
		p, closeProxy, err := mwproxy.New(to)
		if err != nil {
			return n, err
		}
		n.links[i] = p
		n.cleanups = append(n.cleanups, closeProxy)
	}
	n.entryAddress = n.links[linkEntry].Address()
	if err := n.startFaultyProxy(); err != nil {
		return n, err
	}
	if err := n.openLog(); err != nil {
		return n, err
	}
	if err := n.start(); err != nil {
		return n, err
	}
	return n, n.startBackend("")
}

// Ports of nodes are below the ephemeral port range of the kernel, so that a
// restarted node finds its ports free.
const (
	firstPort = 11000
	portCount = 18000
	// portStride spreads the ports of soaks that run at the same time.
	portStride = 997
)

// portsTried counts the ports that this process has tried to use.
var portsTried atomic.Int64

func freeAddress() (string, error) {
	for range portCount {
		n := (int64(os.Getpid())*portStride + portsTried.Add(1)) % portCount
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+n)
		ln, err := net.Listen("tcp", a)
		if err != nil {
			continue // The port is in use.
		}
		return a, ln.Close()
	}
	return "", errors.New("mwscene: no free loopback port for a node")
}

func (n *node) openLog() error {
	if n.s.cfg.Logs == "" {
		return nil
	}
	f, err := os.Create(filepath.Join(n.s.cfg.Logs, fmt.Sprintf("seed-%d-node-%d.log", n.s.cfg.Plan.Seed, n.index)))
	if err != nil {
		return fmt.Errorf("mwscene: %w", err)
	}
	n.log = f
	n.cleanups = append(n.cleanups, func() { f.Close() })
	return nil
}

// zone returns the availability zone and the region of the node: nodes
// alternate between two of each.
func (n *node) zone() (zone, region string) {
	if n.index%2 == 0 {
		return "wien-a", "wien"
	}
	return "graz-a", "graz"
}

func (n *node) service() string {
	if n.index/2%2 == 0 {
		return serviceA
	}
	return serviceB
}

// args returns the command line of the node, with the settings of
// deploy/node.ini.
func (n *node) args() []string {
	zone, region := n.zone()
	return []string{
		"--zone=" + zone, "--region=" + region, "--service=" + n.service(),
		"--entry=" + n.addresses[0], "--local=", "--peer=" + n.addresses[1], "--admin=" + n.addresses[2],
		"--control=" + n.addresses[3], "--ready=" + n.addresses[4],
		"--reach=" + n.links[linkPeer].Address(), "--store.address=" + n.links[linkStore].Address(),
		"--use.dialect=platform", "--use.source=platform", "--use.store=platform",
		"--use.ledger=none", "--use.router=expect", "--use.retry=window", "--admit.limiter=slots",
		"--admit.medium-after=5s", "--admit.long-after=5s", "--relay.margin=15ms",
		"--relay.drain=5500ms",
		"--retry.token-reserve=1", "--retry.chain=100",
	}
}

// start starts the process, which watch restarts whenever it exits. It does
// nothing once the node has been stopped.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	cmd := exec.Command(n.s.cfg.Program, n.args()...)
	if n.log != nil {
		cmd.Stdout, cmd.Stderr = n.log, n.log
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("mwscene: %w", err)
	}
	n.starts++
	n.cmd, n.done = cmd, make(chan struct{})
	go n.watch(cmd, n.done)
	return nil
}

// watch waits until the process exits and restarts it.
func (n *node) watch(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		fmt.Fprintln(os.Stderr, "mwscene: waiting for the process of a node:", err)
	}
	close(done)
	time.Sleep(restartDelay)
	if err := n.start(); err != nil {
		fmt.Fprintln(os.Stderr, "mwscene: restarting node", n.index, "failed:", err)
	}
}

// signal sends a signal to the current process. The returned channel is closed
// when that process has exited.
func (n *node) signal(sig syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintln(os.Stderr, "mwscene: signaling node", n.index, "failed:", err)
	}
	return n.done
}

// incarnation returns the incarnation of the current process.
func (n *node) incarnation() mwcheck.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return mwcheck.Incarnation{Node: n.index, Start: n.starts}
}

func (n *node) entry() string { return n.entryAddress }

// stop kills the process and the backend server without a restart, and runs
// the cleanups.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	running, b := n.cmd != nil, n.backend
	n.mu.Unlock()
	if b != nil {
		b.crash()
	}
	if running {
		n.signal(syscall.SIGCONT)
		<-n.signal(syscall.SIGKILL)
	}
	for _, cleanup := range n.cleanups {
		cleanup()
	}
}

// backend is a node's backend server behind its proxy.
type backend struct {
	*mwstandin.Backend
	// startID identifies this start: a backend server that restarts under the
	// same instance id has no state from before.
	startID string
	crash   func() // crash stops the backend server and its proxy at once.
}

// Parameters of a backend server.
const (
	slots           = 8
	heartbeatPeriod = 500 * time.Millisecond
)

// startBackend starts the node's backend server under the given instance id, or
// under a new one if instance is empty.
func (n *node) startBackend(instance string) error {
	if instance == "" {
		instance = "i-" + strings.TrimLeft(n.s.ids.next(), "0")
	}
	var proxy *mwproxy.Proxy
	var closeProxy func()
	startID := instance + "/" + n.s.ids.next()
	zone, _ := n.zone()
	b, stop, err := mwstandin.NewBackend(mwstandin.BackendConfig{
		Service: n.service(), Instance: instance, Zone: zone, Control: n.links[linkControl].Address(),
		Slots: slots, WorkTime: workTime, HeartbeatPeriod: heartbeatPeriod,
		Advertise: func(real string) string {
			if proxy == nil {
				p, closeNew, err := mwproxy.New(real)
				if err != nil {
					return real
				}
				proxy, closeProxy = p, closeNew
			}
			return proxy.Address()
		},
		Ran: func(r mwstandin.Run) {
			n.s.checker.Ran(mwid.RequestID(r.Request), startID, !strings.HasPrefix(r.Path, orderPath), r.At)
		},
	})
	if err != nil {
		return err
	}
	var once sync.Once
	x := &backend{Backend: b, startID: startID, crash: func() {
		once.Do(func() {
			stop()
			if closeProxy != nil {
				closeProxy()
			}
		})
	}}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		go x.crash()
		return nil
	}
	n.backend = x
	return nil
}

// replaceBackend announces that the backend server leaves, keeps it serving for
// deregisterDelay, deregisters and stops it, and starts a new one.
func (n *node) replaceBackend() {
	n.mu.Lock()
	b := n.backend
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.s.ctx, leaveTimeout)
	defer cancel()
	if n.s.cfg.Plant == mwcheck.Drain {
		n.s.checker.LeaveAcked(b.startID, time.Now())
	} else if at, ok := b.Leave(ctx); ok {
		n.s.checker.LeaveAcked(b.startID, at)
	}
	mwtimer.Sleep(n.s.ctx, deregisterDelay)
	b.Deregister(ctx)
	b.crash()
	n.restartBackend("")
}

// Times of a leaving backend server.
const (
	leaveTimeout = 10 * time.Second
	// deregisterDelay is slightly longer than the platform's time to drain.
	deregisterDelay = 3500 * time.Millisecond
)

func (n *node) restartBackend(instance string) {
	if err := n.startBackend(instance); err != nil {
		fmt.Fprintln(os.Stderr, "mwscene: starting the backend server of node", n.index, "failed:", err)
	}
}

// crashBackend stops the backend server at once and starts it again after the
// given time: under a new instance id if id is empty, else under its previous
// one.
func (n *node) crashBackend(after time.Duration, id string) {
	n.mu.Lock()
	b := n.backend
	n.mu.Unlock()
	b.crash()
	mwtimer.Sleep(n.s.ctx, after)
	if id != "" {
		id = b.Instance()
	}
	n.restartBackend(id)
}
