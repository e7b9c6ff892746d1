package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: tables of rows and a feed of
// changes, in memory.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]row
	log     []row
	changed chan struct{}
	start   time.Time
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table-name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func newStore() *store {
	return &store{rows: make(map[rowKey]row), changed: make(chan struct{}), start: time.Now()}
}

// copyOf returns a store with the rows of s and an empty history.
func (s *store) copyOf() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := newStore()
	n.ver = s.ver
	for k, r := range s.rows {
		n.rows[k] = r
	}
	return n
}

// put writes one row, as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: value, Ver: s.ver})
}

func (s *store) set(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves s at a free loopback port. The returned function stops the server
// and closes its connections.
func (s *store) serve() (addr string, stop func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	srv := &http.Server{Handler: s}
	go srv.Serve(ln)
	return ln.Addr().String(), func() { srv.Close() }
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, ver uint64, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "ver": ver, "has-more": more, "now-ms": time.Since(s.start).Milliseconds(),
	})
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.tx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var out []row
	for k, x := range s.rows {
		if k.table == q.Get("table-name") && k.part == q.Get("part") && k.key >= q.Get("from") &&
			(q.Get("to") == "" || k.key < q.Get("to")) {
			out = append(out, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > limit
	s.reply(w, http.StatusOK, out[:min(limit, len(out))], ver, more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(min(max(ms, 0), 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []row
		for _, x := range s.log {
			if x.Table == q.Get("table-name") && x.Ver > after {
				out = append(out, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			s.reply(w, http.StatusOK, out, ver, false)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, http.StatusOK, nil, ver, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Expected []row `json:"expected-rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(slices.Clone(m.Puts), m.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var now []row
	ok := true
	for _, x := range m.Expected {
		cur := s.rows[rowKey{x.Table, x.Part, x.Key}]
		ok = ok && cur.Ver == x.Ver
		if cur.Ver > 0 {
			now = append(now, cur)
		}
	}
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, now, s.ver, false)
		return
	}
	s.ver++
	for _, x := range m.Puts {
		x.Ver, x.Removed = s.ver, false
		s.set(x)
	}
	for _, x := range m.Remove {
		s.set(row{Table: x.Table, Part: x.Part, Key: x.Key, Ver: s.ver, Removed: true})
	}
	s.reply(w, http.StatusOK, nil, s.ver, false)
}
