package mwhttp_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwhttp"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
)

// silentProxy forwards bytes between its listener and a server. silence makes
// the present connections permanently silent; later ones work.
type silentProxy struct {
	ln net.Listener
	to string

	mu     sync.Mutex
	silent map[net.Conn]chan struct{}
}

func newSilentProxy(c *qt.C, to string) *silentProxy {
	p := &silentProxy{to: to, silent: make(map[net.Conn]chan struct{})}
	p.ln = accept(c, p.serve)
	return p
}

func (p *silentProxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		in.Close()
		return
	}
	silenced := make(chan struct{})
	p.mu.Lock()
	p.silent[in] = silenced
	p.mu.Unlock()
	go copyUntilSilenced(out, in, silenced)
	copyUntilSilenced(in, out, silenced)
}

// copyUntilSilenced copies from src to dst. Once silenced is closed, it
// discards all input, including its end.
func copyUntilSilenced(dst, src net.Conn, silenced chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		select {
		case <-silenced:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			dst.Write(buf[:n])
		}
		if err != nil {
			dst.Close()
			return
		}
	}
}

// silence makes all present connections silent and returns their number.
func (p *silentProxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.silent)
	for c, silenced := range p.silent {
		close(silenced)
		delete(p.silent, c)
	}
	return n
}

// If many idle connections become silent, at most one call may time out: it
// closes the other connections, and the next call opens a new one.
func TestSilentConnectionsAreDroppedTogether(t *testing.T) {
	c := qt.New(t)
	const calls = 4
	var together sync.WaitGroup
	together.Add(calls)
	backend := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
		io.WriteString(w, "ok")
	})
	s := newStack(t, http.NotFoundHandler())
	b := httptest.NewServer(backend)
	c.Cleanup(b.Close)
	proxy := newSilentProxy(c, b.Listener.Addr().String())
	c.Assert(s.target.Announce(mwcall.Announcement{
		Service: service, Address: mwid.Address(proxy.ln.Addr().String()),
		Slots: 2 * calls, Connections: 2 * calls, TTL: mwkernel.MaxTTL,
	}), qt.IsNil)

	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() { do(c, s.request(c, "POST", "/together", nil)) })
	}
	wg.Wait()
	c.Assert(proxy.silence() >= calls, qt.IsTrue)

	r := s.request(c, "POST", "/", nil)
	r.Header.Set(mwhttp.HeaderTimeout, "300ms")
	resp, _ := do(c, r)
	c.Assert(code(resp), qt.Equals, want(mwcode.Silent))
	for range calls {
		resp, body := do(c, s.request(c, "POST", "/", nil))
		c.Assert(code(resp), qt.Equals, "")
		c.Assert(body, qt.Equals, "ok")
	}
}
