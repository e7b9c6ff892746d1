package main

import (
	"bytes"
	"encoding/json"
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

// target is a stand-in for the application target on one machine. It reports to
// the control address of its node.
type target struct {
	id, service, zone string
	control           string
	addr              string
	born              int64
	seq               atomic.Int64
	leaving           atomic.Bool
	srv               *http.Server
	mu                sync.Mutex
	runs              []run
	stopBeats         chan struct{}
	// body returns the body of the answer to a request; nil for a short one.
	body func(r *http.Request) []byte
	work time.Duration
	// pause is how long the target waits before it reads a body.
	pause time.Duration
	begun []string // ids of the requests that the target began to work on
}

// run is one request that the target worked on.
type run struct {
	id       string
	at       time.Time // when the target began to work on it
	finished time.Time // when the last byte of the answer was handed to the socket; zero if it was cut
}

func newTarget(id, service, zone, control string) *target {
	t := &target{id: id, service: service, zone: zone, control: control,
		born: time.Now().UnixMilli(), stopBeats: make(chan struct{}), work: 20 * time.Millisecond}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("target: %v", err)
	}
	t.addr = ln.Addr().String()
	t.srv = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go t.srv.Serve(ln)
	return t
}

// signature returns the signature of an answer.
func signature(id string, body []byte) string {
	return fmt.Sprintf("s.%s.%d", id, len(body))
}

// ServeHTTP serves one request as PROTOCOL.md says.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", t.id)
		h.Set("Server-Load", "1,0,109")
		if t.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Server-Load", "1,0,109")
	if want := r.Header.Get("Target-Instance"); want != "" && want != t.id {
		record("target %s: request %s is for instance %s: 421", t.id, id, want)
		h.Set("Instance-Id", t.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x := run{id: id, at: time.Now()}
	state := ""
	if t.leaving.Load() {
		state = " while it leaves"
	}
	record("target %s: runs %s%s (Timeout-Ms %s, Caller-Service %s)", t.id, id, state,
		r.Header.Get("Timeout-Ms"), r.Header.Get("Caller-Service"))
	t.mu.Lock()
	t.begun = append(t.begun, id)
	t.mu.Unlock()
	time.Sleep(t.pause)
	if n, err := io.Copy(io.Discard, r.Body); err != nil {
		record("target %s: the body of %s breaks off after %d bytes: %v", t.id, id, n, err)
		return
	}
	time.Sleep(t.work)
	body := []byte("answer to " + id + "\n")
	if t.body != nil {
		body = t.body(r)
	}
	h.Set("Response-Signature", signature(id, body))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err == nil {
		x.finished = time.Now()
		record("target %s: answer to %s handed over, %d bytes", t.id, id, len(body))
	} else {
		record("target %s: answer to %s not handed over: %v", t.id, id, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs = append(t.runs, x)
}

func (t *target) seen() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs...)
}

// started returns the ids of the requests that the target began to work on.
func (t *target) started() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.begun...)
}

// report returns the liveness report with all the fields that the pages name.
func (t *target) report(state string) map[string]any {
	return map[string]any{
		"address": t.addr, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "capacity": 109},
		"status": map[string]any{"state": state, "seq": t.seq.Add(1), "warmup-left-ms": 0},
	}
}

// call makes a call to the control address and reports whether it was acknowledged.
func (t *target) call(name, id string, body any) bool {
	b, _ := json.Marshal(body)
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+t.control+"/v1/rpc?call="+name+"&of="+id, "application/json", bytes.NewReader(b))
	if err != nil {
		record("control: %s of %s %s: %v", name, id, b, shorten(err))
		return false
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
	record("control: %s of %s %s -> %d %s", name, id, b, resp.StatusCode, strings.TrimSpace(string(answer)))
	return resp.StatusCode/100 == 2
}

// beat sends one liveness report.
func (t *target) beat() bool {
	state := "ready"
	if t.leaving.Load() {
		state = "draining"
	}
	return t.call("instances.heartbeat", t.id, t.report(state))
}

// beats sends a liveness report every heartbeat-ms until stop is called.
func (t *target) beats() {
	tick := time.NewTicker(1500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-t.stopBeats:
			return
		case <-tick.C:
			t.beat()
		}
	}
}

// awaitAck repeats the report until it is acknowledged.
func (t *target) awaitAck(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if t.beat() {
			return
		}
	}
	cannotRun("target %s: no acknowledgement", t.id)
}

func shorten(err error) string {
	s := err.Error()
	if i := strings.LastIndex(s, ": "); i >= 0 {
		return s[i+2:]
	}
	return s
}

// end ends the target: it says that it leaves, and closes all its connections.
func (t *target) end() {
	close(t.stopBeats)
	t.call("instances.deregister", t.id, map[string]any{"born": t.born})
	record("target %s ends", t.id)
	t.srv.Close()
}
