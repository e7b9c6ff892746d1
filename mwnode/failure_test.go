package main_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

var read = call{method: "GET", path: "/templates"}

func TestWholePath(t *testing.T) {
	c := qt.New(t)
	s := newSystem(c, 3)
	s.startServer(s.nodes[0])
	s.startServer(s.nodes[1])
	s.apply()
	s.waitForTargets(2)
	for _, n := range s.nodes {
		c.Assert(n.do(read).status, qt.Equals, http.StatusOK)
	}
	out, code := s.ctl("explain", "--service", "auftrag", "--path", "/templates")
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, "reads")
	out, code = s.ctl("status")
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, "wien-c")
}

func TestBadSettingsAreAllNamed(t *testing.T) {
	c := qt.New(t)
	p := start(c, "mwnode", "--zone", "a", "--region", "b", "--entry", "localhost:1", "--member.period", "0s")
	<-p.done
	c.Assert(p.cmd.ProcessState.ExitCode(), qt.Equals, 2)
	c.Assert(p.log.String(), qt.Contains, "BadSetting (3002): --entry")
	c.Assert(p.log.String(), qt.Contains, "BadSetting (3002): --member.period")
}

// Killing a node may fail the calls in flight at that node, and no others. Each
// failed call must have an outcome.
func TestNodeKilledWithCallsInFlight(t *testing.T) {
	c := qt.New(t)
	s := newSystem(c, 3)
	s.startServer(s.nodes[0])
	s.startServer(s.nodes[1], "--time", "300ms", "--jitter", "0")
	s.apply()
	s.waitForTargets(2)
	entry := s.nodes[2]
	var wg sync.WaitGroup
	withoutOutcome := make(chan result, 64)
	for range 16 {
		wg.Go(func() {
			r := entry.do(call{method: "POST", path: "/orders"})
			if r.err != nil || r.status != http.StatusOK && r.outcome != "OutcomeUnknown" && r.outcome != "NotRun" {
				withoutOutcome <- r
			}
		})
	}
	s.nodes[1].kill()
	wg.Wait()
	close(withoutOutcome)
	for r := range withoutOutcome {
		c.Errorf("response without an outcome: %+v", r)
	}
	s.nodes = []*node{s.nodes[0], s.nodes[2]}
	eventually(c, "a call at the remaining target", func() bool { return entry.do(read).status == http.StatusOK })
	s.waitForTargets(1)
}

func TestBackendServerKilled(t *testing.T) {
	c := qt.New(t)
	s := newSystem(c, 2)
	s.startServer(s.nodes[0])
	dead := s.startServer(s.nodes[1])
	s.apply()
	s.waitForTargets(2)
	dead.kill()
	s.waitForTargets(1)
	for range 20 {
		c.Assert(s.nodes[1].do(read).status, qt.Equals, http.StatusOK)
	}
}

// A stopped node must not delay calls beyond their timeout, and works again
// when it is resumed.
func TestNodeFrozenAndResumed(t *testing.T) {
	c := qt.New(t)
	s := newSystem(c, 3)
	s.startServer(s.nodes[0])
	s.startServer(s.nodes[1])
	s.apply()
	s.waitForTargets(2)
	s.nodes[1].signal(syscall.SIGSTOP)
	entry := s.nodes[2]
	for range 10 {
		r := entry.do(call{method: "POST", path: "/orders", timeout: "500ms"})
		c.Assert(r.err, qt.IsNil)
		c.Assert(r.status == http.StatusOK || r.outcome != "", qt.IsTrue, qt.Commentf("%+v", r))
	}
	eventually(c, "calls that avoid the stopped node", func() bool {
		for range 10 {
			if entry.do(call{method: "GET", path: "/", timeout: "500ms"}).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	s.nodes[1].signal(syscall.SIGCONT)
	s.waitForTargets(2)
}

// While the store does not respond, repeatable calls succeed, and a call that
// must not repeat gets a response with an outcome. Calls that must not repeat
// succeed again once the store is resumed.
func TestStoreStoppedAndStarted(t *testing.T) {
	c := qt.New(t)
	s := newSystem(c, 2)
	s.startServer(s.nodes[0])
	s.apply()
	s.waitForTargets(1)
	s.process.signal(syscall.SIGSTOP)
	c.Assert(s.nodes[1].do(read).status, qt.Equals, http.StatusOK)
	r := s.nodes[1].do(call{method: "POST", path: "/orders", key: "order-1", timeout: "1s"})
	c.Assert(r.outcome, qt.Not(qt.Equals), "")
	_, code := s.ctl("--timeout", "1s", "list")
	c.Assert(code, qt.Equals, 4)
	s.process.signal(syscall.SIGCONT)
	eventually(c, "an order that succeeds after the store was resumed", func() bool {
		return s.nodes[1].do(call{method: "POST", path: "/orders", key: "order-2"}).status == http.StatusOK
	})
}

// Of operators that apply changes concurrently, at least one succeeds, and each
// one that does not is told of the conflict.
func TestOperatorsRace(t *testing.T) {
	c := qt.New(t)
	s := newSystem(c, 1)
	s.apply()
	const operators = 6
	var won, lost atomic.Int32
	var wg sync.WaitGroup
	for i := range operators {
		name := filepath.Join(c.TempDir(), "change.json")
		text := strings.ReplaceAll(documents, `"Importance": 20`, `"Importance": `+strconv.Itoa(30+i))
		c.Assert(os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
		wg.Go(func() {
			out, code := s.ctl("apply", name)
			switch {
			case code == 0 && strings.Contains(out, "accepted"):
				won.Add(1)
			case code == 3 && strings.Contains(out, "Conflict (4001)"):
				lost.Add(1)
			default:
				c.Errorf("exit code %d: %s", code, out)
			}
		})
	}
	wg.Wait()
	c.Assert(int(won.Load()+lost.Load()), qt.Equals, operators)
	c.Assert(won.Load() >= 1, qt.IsTrue)
	out, _ := s.ctl("history", "--output", "json")
	c.Assert(strings.Count(out, `"Operator"`), qt.Equals, int(won.Load())+1)
}

// Nodes and backend servers are replaced one by one under load, and no call is
// cut off.
func TestEveryProcessReplacedUnderLoad(t *testing.T) {
	c := qt.New(t)
	s := newSystem(c, 3)
	for _, n := range s.nodes {
		s.startServer(n)
	}
	s.apply()
	s.waitForTargets(3)
	load := startLoad(s.nodes[2])
	for i := range 2 {
		old, server := s.nodes[i], s.servers[i]
		old.signal(syscall.SIGTERM)
		<-old.done
		c.Assert(old.cmd.ProcessState.ExitCode(), qt.Equals, 0)
		server.signal(syscall.SIGTERM)
		<-server.done
		s.nodes[i] = s.startNode(old.zone)
		s.servers[i] = s.startServer(s.nodes[i])
		s.waitForVersion(1)
		s.waitForTargets(3)
	}
	load.stop()
	c.Assert(load.cutOff.Load(), qt.Equals, int32(0), qt.Commentf("of %d calls", load.calls.Load()))
	c.Assert(load.calls.Load() > 0, qt.IsTrue)
}

// load makes calls to one node from several concurrent callers without a pause.
type load struct {
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	calls, cutOff atomic.Int32
}

// loadCallers is the number of callers of a load.
const loadCallers = 4

func startLoad(n *node) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	for range loadCallers {
		l.wg.Go(func() {
			for ctx.Err() == nil {
				r := n.do(read)
				l.calls.Add(1)
				if r.err != nil || r.status != http.StatusOK && r.outcome != "NotRun" {
					l.cutOff.Add(1)
				}
			}
		})
	}
	return l
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}
