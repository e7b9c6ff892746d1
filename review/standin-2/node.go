package main

import (
	"fmt"
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

// place is what the platform's settings of one process say.
type place struct {
	name, zone, region, service string
	outbound, inbound           string
	ready, control              string
	admin                       string
	store                       string
	grace                       string // grace-s
}

// newPlace returns a place with free loopback ports.
func newPlace(name, zone, region, service, store string) place {
	a := freeAddrs(5)
	return place{name, zone, region, service, a[0], a[1], a[2], a[3], a[4], store, "6"}
}

// fields returns the fields with which the platform fills in the template.
func (p place) fields() map[string]string {
	ip, port, _ := net.SplitHostPort(p.admin)
	return map[string]string{
		"limits.memory-mb": "284", "zone": p.zone, "region": p.region, "service": p.service,
		"listen-addrs.outbound": p.outbound, "listen-addrs.inbound": p.inbound,
		"listen-addrs.ready": p.ready, "listen-addrs.control": p.control,
		"ip": ip, "port-range.0": port, "bootstrap": "", "platform.address": p.store,
		"bounds.grace-s": p.grace, "bounds.budget-window-s": "10", "bounds.retry-budget-ratio": "0.2",
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([a-z0-9.-]+)\}\}(.*?)\{\{/[a-z0-9.-]+\}\}`)
	fieldPattern   = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// render fills in the template of the deploy file as the platform does.
func render(template string, f map[string]string) string {
	out := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		v := f[m[2]]
		if (m[1] == "#") != (v != "") {
			return ""
		}
		return strings.ReplaceAll(m[3], "{{.}}", v)
	})
	return fieldPattern.ReplaceAllStringFunc(out, func(s string) string {
		return f[strings.Trim(s, "{}")]
	})
}

// node is one process of mwnode.
type node struct {
	place
	dir  string
	file string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newNode writes the settings file of p. It does not start the process.
func newNode(p place) *node {
	n := &node{place: p, dir: scratch, file: filepath.Join(scratch, p.name+".conf")}
	n.writeSettings()
	return n
}

// writeSettings places the settings file, as the platform does at every start and
// whenever the settings change.
func (n *node) writeSettings() {
	t, err := os.ReadFile(filepath.Join(root, "deploy", "node.ini"))
	if err != nil {
		cannotRun("template: %v", err)
	}
	tmp := n.file + ".new"
	if err := os.WriteFile(tmp, []byte(render(string(t), n.fields())), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	if err := os.Rename(tmp, n.file); err != nil {
		cannotRun("settings: %v", err)
	}
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(root, "target", "mwnode"))
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.dir, "MUSTARDWHEEL_NODE_FILE=" + n.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("node: %v", err)
	}
	done := make(chan struct{})
	go func() {
		cmd.Wait()
		close(done)
	}()
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	record("node %s: process %d started", n.name, cmd.Process.Pid)
}

// signal sends s to the process.
func (n *node) signal(s syscall.Signal) {
	record("node %s: %v", n.name, s)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd.Process.Signal(s)
}

// wait waits for the end of the process, for d at most.
func (n *node) wait(d time.Duration) bool {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-done
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.isReady() {
			record("node %s: ready", n.name)
			return
		}
	}
	log, _ := os.ReadFile(filepath.Join(n.dir, n.name+".log"))
	record("log of node %s:\n%s", n.name, log)
	cannotRun("node %s is not ready", n.name)
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Range of the ports of nodes. It is below the ports that the kernel gives to
// outgoing connections, so that none of those takes the port of a node that is being
// started.
const (
	firstPort = 12000
	lastPort  = 30000
)

// freeAddrs returns n free loopback addresses.
func freeAddrs(n int) []string {
	var out []string
	var lns []net.Listener
	for range 100 * n {
		if len(out) == n {
			break
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue
		}
		lns = append(lns, ln)
		out = append(out, ln.Addr().String())
	}
	for _, ln := range lns {
		ln.Close()
	}
	if len(out) < n {
		cannotRun("no free ports")
	}
	return out
}

// configuration returns a desired state in the encoding of the store.
func configuration(version int, routes ...string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","routes":{%s},"services":{"auftrag":{"health-path":"/health",`+
		`"max-connections":754,"protocol":"h1","tls":false}},"limits":{"max-header-bytes":16384,`+
		`"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		version, strings.Join(routes, ","))
}

// route returns one route of a configuration.
func route(name, prefix, kind, rest string) string {
	return fmt.Sprintf(`%q:{"host":"portal.example","prefix":%q,"kind":%q,"slo-ms":1500,"priority":0,`+
		`"service":"auftrag","max-attempts":2%s}`, name, prefix, kind, rest)
}
