package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"sync"
	"time"
)

// earlyAnswer: a target answers before it has read a long body, and reads on
// later. What it reads must be the body that the client sent.
func earlyAnswer(s *system, trouble bool) (*verdict, error) {
	const (
		requests   = 12
		bodyBytes  = 8 << 20
		answerSize = 200 << 10
	)
	var mu sync.Mutex
	got := map[string]string{} // by request: what the target read as its body
	serve := func(x *exchange) bool {
		x.ran()
		a := x.signed(200, strings.Repeat("x", answerSize))
		if trouble {
			x.t.rec.add("%s: answers %s before it has read the body", x.t.id, x.id)
			if !x.send(a) {
				return false
			}
			time.Sleep(300 * time.Millisecond)
		}
		b, err := readAll(x)
		x.t.rec.add("%s: body of %s: %d bytes, error %v", x.t.id, x.id, len(b), err)
		mu.Lock()
		if err != nil {
			got[x.id] = "cut off: " + b
		} else {
			got[x.id] = "whole: " + b
		}
		mu.Unlock()
		return err == nil && (trouble || x.send(a))
	}
	var nodes []*node
	for i, service := range []string{"auftrag", "katalog"} {
		n, err := s.addNode(service+"-0", "wien-"+string(rune('a'+i)), service)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		t, err := newTarget(s.rec, "i-"+service, n, 109, serve)
		if err != nil {
			return nil, err
		}
		defer t.stop()
	}
	if err := s.configure(3, []route{{"print-order", "shop.example", "/order/", "unsafe", "auftrag", 6 * time.Second, 2}}, []string{"auftrag", "katalog"}); err != nil {
		return nil, err
	}
	if err := s.settled(); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	v := &verdict{}
	sent := map[string]string{}
	statuses := map[int]int{}
	for i := range requests {
		c := newClient(s.rec, nodes[i%2])
		body := numberedLines(i, bodyBytes)
		var rd io.Reader = &slowReader{r: strings.NewReader(body)}
		r := c.do("POST", "shop.example", "/order/1", rd, 5*time.Second)
		sent[r.id] = body
		statuses[r.status]++
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for id, body := range sent {
		b, ok := got[id]
		if !ok {
			continue
		}
		how, b, _ := strings.Cut(b, ": ")
		switch {
		case how == "whole" && b != body:
			v.add("UNASKED: the target read a body of %d bytes (hash %x) for %s, the client sent %d (hash %x)", len(b), hash(b), id, len(body), hash(body))
		case how == "cut off" && !strings.HasPrefix(body, b):
			v.add("UNASKED: the target read %d bytes of %s that differ from those that the client sent", len(b), id)
		}
	}
	v.facts = fmt.Sprintf("%d requests; by status: %v", requests, statuses)
	return v, nil
}

// numberedLines returns a text in which each line is different.
func numberedLines(seed, size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%d line %d\n", seed, i)
	}
	return b.String()
}

func hash(s string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, s)
	return h.Sum64()
}

// slowReader reads in small pieces, as a client with a slow link sends.
type slowReader struct{ r io.Reader }

// Read reads up to 16 KiB.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.r.Read(p[:min(len(p), 16<<10)])
}
