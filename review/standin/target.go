package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatPeriod is heartbeat-ms of the settings.
const heartbeatPeriod = 1500 * time.Millisecond

// target is a stand-in of an application target. It writes to its connections
// directly, because an HTTP server can't send the faulty answers.
type target struct {
	rec     *recorder
	id      string
	service string
	node    *node
	ln      net.Listener
	slots   chan struct{}
	born    int64
	seq     atomic.Int64
	state   atomic.Value // "ready" or "draining"
	// serve answers one request that runs or is declined. It reports whether the
	// connection stays open.
	serve func(x *exchange) bool

	// noBeats is set when the target sends no more liveness reports.
	noBeats atomic.Bool

	mu   sync.Mutex
	runs map[string][]run
	stop context.CancelFunc
}

// run is one run of a request.
type run struct {
	at     time.Time
	target string
}

// exchange is one request at a target.
type exchange struct {
	t    *target
	conn net.Conn
	br   *bufio.Reader
	req  *http.Request
	id   string
	// pending is an extra answer that is due on this connection before the next
	// one.
	pending *string
}

// newTarget starts a target beside n.
func newTarget(rec *recorder, id string, n *node, capacity int, serve func(*exchange) bool) (*target, error) {
	ln, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	t := &target{
		rec: rec, id: id, service: n.service, node: n, ln: ln, slots: make(chan struct{}, capacity),
		born: time.Now().UnixMilli(), serve: serve, runs: make(map[string][]run),
	}
	t.state.Store("ready")
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = func() { cancel(); ln.Close() }
	go t.accept()
	go t.beat(ctx)
	return t, nil
}

// beat sends liveness reports.
func (t *target) beat(ctx context.Context) {
	for {
		if !t.noBeats.Load() {
			t.report()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

// report sends one liveness report and says whether it was acknowledged.
func (t *target) report() bool {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d},"status":{"state":%q,"seq":%d,"warmup-left-ms":0}}`,
		t.ln.Addr(), t.born, t.service, t.node.zone, cap(t.slots), t.state.Load(), t.seq.Add(1))
	return t.call("instances.heartbeat", body)
}

// call makes a call to the node and says whether it was acknowledged.
func (t *target) call(name, body string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+t.node.ctrl+"/v1/rpc?call="+name+"&of="+t.id, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode/100 == 2 && len(b) <= 4096
}

// drain reports draining until that is acknowledged, and returns when.
func (t *target) drain() time.Time {
	t.state.Store("draining")
	for !t.report() {
		time.Sleep(100 * time.Millisecond)
	}
	t.rec.add("%s: draining acknowledged by %s", t.id, t.node.name)
	return time.Now()
}

func (t *target) accept() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		go t.handle(c)
	}
}

func (t *target) handle(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var pending string
	for {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		x := &exchange{t: t, conn: c, br: br, req: r, id: r.Header.Get("Request-Id"), pending: &pending}
		if r.URL.Path == "/health" {
			if _, err := io.WriteString(c, x.health()); err != nil {
				return
			}
			continue
		}
		if in := r.Header.Get("Target-Instance"); in != "" && in != t.id {
			if _, err := io.WriteString(c, x.answer(421, "", "Instance-Id: "+t.id)); err != nil {
				return
			}
			continue
		}
		if !t.serve(x) {
			return
		}
	}
}

// health returns the answer to a health check.
func (x *exchange) health() string {
	status := "200 OK"
	if x.t.state.Load() != "ready" {
		status = "503 Service Unavailable"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, x.t.id)
}

// answer returns a whole answer with a body.
func (x *exchange) answer(status int, body string, headers ...string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n", status, http.StatusText(status), x.id)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %s\r\n\r\n%s", strconv.Itoa(len(body)), body)
	return b.String()
}

// signed returns the answer to a request that ran.
func (x *exchange) signed(status int, body string, headers ...string) string {
	return x.answer(status, body, append(headers, "Response-Signature: "+signature(x.id, body))...)
}

// ran records that the target began to work on the request.
func (x *exchange) ran() {
	x.t.mu.Lock()
	x.t.runs[x.id] = append(x.t.runs[x.id], run{time.Now(), x.t.id})
	x.t.mu.Unlock()
	x.t.rec.add("%s: runs %s", x.t.id, x.id)
}

// reject declines the request: it didn't run.
func (x *exchange) reject() string {
	x.t.rec.add("%s: declines %s", x.t.id, x.id)
	return x.answer(503, "", "Not-Executed: 1")
}

// send writes b and says whether that worked.
func (x *exchange) send(b string) bool {
	_, err := io.WriteString(x.conn, b)
	return err == nil
}

// signature stands for the MAC of an answer.
func signature(id, body string) string {
	h := uint64(14695981039346656037)
	for _, c := range []byte(id + "\n" + body) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return fmt.Sprintf("%x", h)
}
