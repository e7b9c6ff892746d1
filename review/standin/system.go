package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Programs that a case starts, relative to the root of the repository.
const (
	nodeProgram     = "target/mwnode"
	platformProgram = "target/review/mwplatform"
	nodeTemplate    = "deploy/node.ini"
)

// system is the store and the nodes of one case. All of them are processes.
type system struct {
	rec   *recorder
	dir   string // settings files and logs
	store string
	nodes []*node
	procs []*exec.Cmd
}

// node is one node and the addresses of its listeners.
type node struct {
	name, zone, service        string
	in, out, ready, ctrl, mngt string
	cmd                        *exec.Cmd
	env                        []string
	log                        *os.File
}

// newSystem starts the store.
func newSystem(rec *recorder) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, store: freeAddress()}
	cmd := exec.Command(platformProgram, "--listen", s.store)
	if err := s.start(cmd, "store"); err != nil {
		return s, err
	}
	return s, waitFor(5*time.Second, func() bool {
		c, err := net.Dial("tcp", s.store)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// start starts cmd with its output in a log file.
func (s *system) start(cmd *exec.Cmd, name string) error {
	f, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	cmd.Stdout, cmd.Stderr = f, f
	// A process that outlives this one would stay behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.procs = append(s.procs, cmd)
	return nil
}

// stop ends all processes. It keeps their logs if REVIEW_LOGS is set.
func (s *system) stop() {
	for _, c := range s.procs {
		_ = c.Process.Kill() // It may have ended already.
	}
	for _, c := range s.procs {
		_ = c.Wait()
	}
	if to := os.Getenv("REVIEW_LOGS"); to != "" {
		if err := os.Rename(s.dir, to); err == nil {
			return
		}
	}
	os.RemoveAll(s.dir)
}

// addNode starts a node of a zone beside a target of service.
func (s *system) addNode(name, zone, service string) (*node, error) {
	n := &node{
		name: name, zone: zone, service: service, in: freeAddress(), out: freeAddress(),
		ready: freeAddress(), ctrl: freeAddress(), mngt: freeAddress(),
	}
	text, err := os.ReadFile(nodeTemplate)
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(n.mngt)
	file := filepath.Join(s.dir, name+".ini")
	settings := render(string(text), map[string]string{
		"limits.memory-mb": "284", "zone": zone, "region": "wien", "service": service,
		"listen-addrs.outbound": n.out, "listen-addrs.inbound": n.in, "listen-addrs.control": n.ctrl,
		"listen-addrs.ready": n.ready, "ip": "127.0.0.1", "port-range.0": port, "bootstrap": "true",
		"platform.address": s.store, "bounds.grace-s": "6", "bounds.budget-window-s": "10",
		"bounds.retry-budget-ratio": "0.2",
	})
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	n.env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "MUSTARDWHEEL_NODE_FILE=" + file}
	s.nodes = append(s.nodes, n)
	return n, s.run(n)
}

// run starts the process of n.
func (s *system) run(n *node) error {
	n.cmd = exec.Command(nodeProgram)
	n.cmd.Env = n.env
	return s.start(n.cmd, n.name)
}

// settled waits until all nodes are ready.
func (s *system) settled() error {
	var missing string
	err := waitFor(20*time.Second, func() bool {
		for _, n := range s.nodes {
			if !n.isReady() {
				missing = n.name
				return false
			}
		}
		return true
	})
	if err != nil {
		text, _ := os.ReadFile(filepath.Join(s.dir, missing+".log"))
		return fmt.Errorf("%s isn't ready: %w; its log:\n%s", missing, err, text)
	}
	return nil
}

// isReady asks n once whether it is ready.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// silence makes the store leave all calls without an answer, or ends that.
func (s *system) silence(on bool) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+s.store+"/admin/fault", strings.NewReader(fmt.Sprintf(`{"Silent":%t}`, on)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// listens says whether n accepts connections on its control address.
func (n *node) listens() bool {
	c, err := net.Dial("tcp", n.ctrl)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// route is a route of the desired state.
type route struct {
	name, host, prefix, kind, service string
	timeout                           time.Duration
	attempts                          int
}

// configure writes a desired state, as the operator does, and returns when the
// store has acknowledged it.
func (s *system) configure(version int, routes []route, services []string) error {
	rs, ss := map[string]any{}, map[string]any{}
	for _, r := range routes {
		rs[r.name] = map[string]any{
			"host": r.host, "prefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeout-ms": r.timeout.Milliseconds(), "slo-ms": 1500, "priority": 0, "max-attempts": r.attempts,
		}
	}
	for _, x := range services {
		ss[x] = map[string]any{"health-path": "/health", "max-connections": 754, "protocol": "h1", "tls": false}
	}
	v, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": rs, "services": ss,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 67108864,
			"header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"puts": []any{map[string]any{
		"table-name": "op", "part": "", "key": "config", "value": base64.StdEncoding.EncodeToString(v),
	}}})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+s.store+"/v1/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("store: status %d: %s", resp.StatusCode, b)
	}
	s.rec.add("operator: desired state r%d acknowledged", version)
	return nil
}

// Sections and values of a template of the deploy file.
var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([^}]+)\}\}\n?(.*?)\{\{/([^}]+)\}\}\n?`)
	valuePattern   = regexp.MustCompile(`\{\{([^}#^/]+)\}\}`)
)

// render fills in a template as DEPLOY.md says, as far as deploy/node.ini needs.
func render(text string, values map[string]string) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(m string) string {
		p := sectionPattern.FindStringSubmatch(m)
		v, ok := values[p[2]]
		if ok == (p[1] == "^") {
			return ""
		}
		return strings.ReplaceAll(p[3], "{{.}}", v)
	})
	return valuePattern.ReplaceAllStringFunc(text, func(m string) string { return values[strings.Trim(m, "{}")] })
}

// Ports of listeners. They are below those that the kernel gives to outgoing
// connections, so that none is taken between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 31999
)

// nextPort is the port that freeAddress tries next.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		ln, err := net.Listen("tcp", a)
		if err == nil {
			ln.Close()
			return a
		}
	}
}

// waitFor waits until ok returns true.
func waitFor(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("condition not met within %v", limit)
}

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	w     *os.File
	start time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
