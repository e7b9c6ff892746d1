package main_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwadmin"
	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
)

// programs are the binaries that the tests start.
var programs = []string{"mwnode", "mwctl", "mwplatform", "mwbackend"}

// binDir is the directory of the binaries.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mw")
	if err != nil {
		panic(err)
	}
	binDir = dir
	code := 1
	if err := build(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

func build() error {
	args := []string{"build", "-o", binDir + "/"}
	for _, p := range programs {
		args = append(args, "mustardwheel.example/"+p)
	}
	out, err := exec.Command("go", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("building: %w: %s", err, out)
	}
	return nil
}

// waitTimeout is the time after which a test that waits fails. It does not limit
// how long the processes may take.
const waitTimeout = 60 * time.Second

// pollPeriod is the time between two checks of a condition.
const pollPeriod = 20 * time.Millisecond

// eventually checks ok until it is true, and fails the test after waitTimeout.
func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	timeout := time.After(waitTimeout)
	for !ok() {
		select {
		case <-t.C:
		case <-timeout:
			c.Fatalf("%s: condition not met within %v", what, waitTimeout)
		}
	}
}

// process is one running program.
type process struct {
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

// logBuffer is what a process printed.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start starts a program, which is killed at the end of the test.
func start(c *qt.C, program string, args ...string) *process {
	return startCommand(c, exec.Command(filepath.Join(binDir, program), args...))
}

// startCommand starts cmd, which is killed at the end of the test.
func startCommand(c *qt.C, cmd *exec.Cmd) *process {
	p := &process{cmd: cmd, log: &logBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	c.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.kill()
		if c.Failed() {
			c.Logf("%v printed:\n%s", cmd.Args, p.log)
		}
	})
	return p
}

func (p *process) signal(s os.Signal) { p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Ports of the processes. The operating system takes the ports of outgoing
// connections from a range above them, so that none is taken between the check and
// the start of the process.
const (
	firstPort = 12_000
	ports     = 20_000
)

// freePort returns a loopback address that was free when it was checked.
func freePort(c *qt.C) mwid.Address {
	c.Helper()
	for range ports {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err == nil {
			defer ln.Close()
			return mwid.Address(ln.Addr().String())
		}
	}
	c.Fatal("no free port")
	return ""
}

// node is one running mwnode.
type node struct {
	*process
	zone                      string
	entry, local, peer, admin mwid.Address
}

// system is a running store with nodes and backend servers.
type system struct {
	c       *qt.C
	store   mwid.Address
	process *process
	nodes   []*node
	servers []*process

	nodeArgs    []string // further arguments of each node
	descriptors int      // maximum number of open descriptors of each node; 0 means that of the test
}

// option configures newSystem.
type option = mwoption.Option[system]

// withNodeArgs adds arguments to the command line of each node.
func withNodeArgs(args ...string) option {
	return func(s *system) { s.nodeArgs = append(s.nodeArgs, args...) }
}

// withDescriptors limits the open descriptors of each node to n.
func withDescriptors(n int) option { return func(s *system) { s.descriptors = n } }

// newSystem runs a store and n nodes, each in its own availability zone.
func newSystem(c *qt.C, n int, opts ...option) *system {
	s := &system{c: c, store: freePort(c)}
	mwoption.Apply(s, opts...)
	s.startStore()
	for i := range n {
		s.nodes = append(s.nodes, s.startNode(fmt.Sprintf("wien-%c", 'a'+i)))
	}
	return s
}

// startStore starts the store and waits until it accepts connections.
func (s *system) startStore() {
	s.c.Helper()
	s.process = start(s.c, "mwplatform", "--listen", string(s.store))
	eventually(s.c, "the store", func() bool {
		conn, err := net.Dial("tcp", string(s.store))
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
}

// startNode runs a node that joins the running nodes.
func (s *system) startNode(zone string) *node {
	n := &node{zone: zone, entry: freePort(s.c), local: freePort(s.c), peer: freePort(s.c), admin: freePort(s.c)}
	args := []string{
		"--zone", zone, "--region", "wien", "--entry", string(n.entry), "--local", string(n.local),
		"--peer", string(n.peer), "--admin", string(n.admin), "--store.address", string(s.store),
	}
	for _, o := range s.nodes {
		args = append(args, "--member.join", string(o.peer))
	}
	n.process = startCommand(s.c, s.nodeCommand(append(args, s.nodeArgs...)))
	eventually(s.c, "the node's admin listener", func() bool {
		_, err := n.client().Status(context.Background())
		return err == nil
	})
	return n
}

// nodeCommand returns the command of a node, which the shell starts if its
// descriptors are limited.
func (s *system) nodeCommand(args []string) *exec.Cmd {
	program := filepath.Join(binDir, "mwnode")
	if s.descriptors == 0 {
		return exec.Command(program, args...)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, s.descriptors)
	return exec.Command("sh", append([]string{"-c", script, program}, args...)...)
}

func (n *node) client() *mwadmin.Client { return mwadmin.NewClient(n.admin) }

// startServer runs a backend server of the service auftrag at n.
func (s *system) startServer(n *node, args ...string) *process {
	args = append([]string{
		"--service", "auftrag", "--node", string(n.local), "--slots", "8", "--connections", "32", "--time", "5ms",
	}, args...)
	p := start(s.c, "mwbackend", args...)
	s.servers = append(s.servers, p)
	return p
}

// waitForTargets waits until every node knows n targets in state Up.
func (s *system) waitForTargets(n int) {
	s.c.Helper()
	for _, x := range s.nodes {
		eventually(s.c, fmt.Sprintf("%d targets known in %s", n, x.zone), func() bool {
			ts, err := x.client().Targets(context.Background(), "auftrag")
			if err != nil {
				return false
			}
			up := 0
			for _, t := range ts {
				if t.State == mwcall.Up {
					up++
				}
			}
			return up == n
		})
	}
}

// waitForVersion waits until version v is in force at every node.
func (s *system) waitForVersion(v mwid.Version) {
	s.c.Helper()
	for _, x := range s.nodes {
		eventually(s.c, fmt.Sprintf("version %d in force in %s", v, x.zone), func() bool {
			st, err := x.client().Status(context.Background())
			return err == nil && st.Configured && st.Version >= v
		})
	}
}

// ctl runs mwctl and returns its output and its exit code.
func (s *system) ctl(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(binDir, "mwctl"), append([]string{
		"--store", string(s.store), "--operator", "anna", "--node", string(s.nodes[0].admin),
	}, args...)...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// documents make GET requests repeatable and all others not.
const documents = `
{"Kind": "RequestLabel", "Name": "reads", "Spec": {"Method": "GET", "Labels": {"Work": "read"}}}
{"Kind": "Selector", "Name": "reads", "Spec": {"On": "Request", "Terms": [{"Label": "Work", "In": ["read"]}]}}
{"Kind": "Policy", "Name": "reads", "Spec": {"Requests": "reads", "Repeatable": true, "Retries": 2, "Importance": 20}}
`

// apply applies documents as version 1 and waits until it is in force.
func (s *system) apply() {
	s.c.Helper()
	name := filepath.Join(s.c.TempDir(), "documents.json")
	s.c.Assert(os.WriteFile(name, []byte(documents), 0o600), qt.IsNil)
	out, code := s.ctl("apply", name)
	s.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	s.waitForVersion(1)
}

// call is one call to the service auftrag.
type call struct {
	method, path, key, timeout string
}

// result is the outcome of a call as its caller sees it.
type result struct {
	status        int
	code, outcome string
	err           error
}

// do makes a call through the entry listener of n.
func (n *node) do(x call) result {
	r, err := http.NewRequest(x.method, "http://"+string(n.entry)+x.path, strings.NewReader(""))
	if err != nil {
		return result{err: err}
	}
	r.Header.Set("Mw-Service", "auftrag")
	r.Header.Set("Mw-Caller", "shop-1")
	for k, v := range map[string]string{"Mw-Key": x.key, "Mw-Timeout": x.timeout} {
		if v != "" {
			r.Header.Set(k, v)
		}
	}
	client := http.Client{Timeout: waitTimeout}
	resp, err := client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	return result{resp.StatusCode, resp.Header.Get("Mw-Code"), resp.Header.Get("Mw-Outcome"), err}
}
