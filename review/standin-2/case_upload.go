package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upload"] = caseUpload }

const (
	uploadBytes = 1 << 20
	// readPause is how long the target waits before it reads a body.
	readPause = 3 * time.Second
)

// upload sends one request with a body and records its answer.
func upload(entry, id string, timeout time.Duration) answer {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	body := bytes.Repeat([]byte("order "), uploadBytes/6)
	r, err := http.NewRequest("POST", "http://"+entry+"/orders/1/", bytes.NewReader(body))
	if err != nil {
		cannotRun("client: %v", err)
	}
	r.Host = "portal.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	record("client: sends POST /orders/1/ as %s, %d bytes", id, len(body))
	resp, err := c.Do(r)
	if err != nil {
		record("client: %s: no answer: %s", id, shorten(err))
		return answer{err: shorten(err)}
	}
	resp.Body.Close()
	record("client: %s: %d", id, resp.StatusCode)
	return answer{status: resp.StatusCode}
}

// caseUpload: a target reads the bodies of requests slowly. Their node gets SIGTERM
// and has grace-s to finish them. LOST: it doesn't break off a request at which its
// target is at work, to give an answer of its own in its place.
func caseUpload() []string {
	st := newStore()
	st.put("op", "config", configuration(7, route("r-orders", "/orders/", "unsafe", "")))
	addr, _ := st.serve()
	n := launch(newPlace("n1", "wien-a", "wien", "auftrag", addr))
	n.awaitReady(15 * time.Second)
	t := newTarget("i-0000000a", "auftrag", "wien-a", n.control)
	if trouble {
		t.pause = readPause
	} else {
		t.work = readPause
	}
	t.awaitAck(10 * time.Second)
	go t.beats()
	time.Sleep(6 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	next := ids("a")
	for range 5 {
		id := next()
		wg.Go(func() {
			a := upload(n.outbound, id, 6*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	time.Sleep(500 * time.Millisecond)
	n.signal(syscall.SIGTERM)
	wg.Wait()
	if n.wait(7 * time.Second) {
		record("node n1 has ended")
	}
	started := make(map[string]bool)
	for _, x := range t.started() {
		started[x] = true
	}
	var broken []string
	for id, a := range answers {
		if started[id] && a.status != http.StatusOK {
			broken = append(broken, fmt.Sprintf("LOST: %s was broken off while its target was at work on it: status %d %s", id, a.status, a.err))
		}
	}
	return broken
}
