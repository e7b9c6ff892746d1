package mwhttp

import (
	"context"
	"maps"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwunit"
)

// exchange is one call over HTTP: the request as received and the writer of
// its answer. It implements mwkernel.Exchange.
type exchange struct {
	f        *Front
	w        http.ResponseWriter
	r        *http.Request
	c        *mwcall.Call
	body     *body
	in       *limitedBody // the body as received
	fromPeer bool         // whether another node sent the request
	memory   *mwmemory.Account

	mu        sync.Mutex
	committed bool // whether the head of the answer was sent or is about to be
	abort     bool // whether the caller's connection is to be aborted
}

var _ mwkernel.Exchange = (*exchange)(nil)

// Forward sends c to the node of t.
func (e *exchange) Forward(ctx context.Context, c *mwcall.Call, t mwcall.Target) (mwkernel.Answer, error) {
	out := e.request(t.Peer)
	encodePeer(out.Header, c, t.Region != e.f.k.Self().Region, time.Now())
	resp, err := e.sendToPeer(ctx, out, t.Peer)
	if err != nil {
		return nil, err
	}
	a := &answer{e: e, resp: resp, head: decodeHead(resp.Header)}
	if a.head.Code != mwcode.OK && a.head.Code != mwcode.BackendUnavailable {
		a.Drop()
		return nil, &mwkernel.Refusal{Head: a.head, Err: mwcode.New(a.head.Code)}
	}
	a.head.Failed = Failed(resp.StatusCode)
	a.head.Size = mwunit.Bytes(max(resp.ContentLength, 0))
	if a.head.Failed {
		if err := a.bufferBody(ctx, false); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// sendToPeer sends the request to the node at addr. That node asks for a
// streamed body by 100 Continue only once it has admitted the call.
func (e *exchange) sendToPeer(ctx context.Context, out *http.Request, addr mwid.Address) (*http.Response, error) {
	if e.body.streamed() {
		out.Header.Set("Expect", "100-continue")
		return e.f.streamedPeers.run(ctx, e.f.streamedPeers.get(addr), out, addr, e.forward1xx)
	}
	return e.f.bufferedPeers.run(ctx, linkRequest{out: out, matches: acceptAny, on1xx: e.forward1xx}, addr)
}

// acceptAny accepts every answer: nodes send exactly one per call.
func acceptAny(http.Header) bool { return true }

// Deliver sends c to the backend server announced by a.
func (e *exchange) Deliver(ctx context.Context, c *mwcall.Call, a mwcall.Announcement) (mwkernel.Answer, error) {
	out := e.request(a.Address)
	e.f.dialect.EncodeRequest(out.Header, c, a, time.Now())
	resp, err := e.f.backends.run(ctx, linkRequest{
		out: out, id: c.ID, on1xx: e.forward1xx,
		matches: func(h http.Header) bool { return e.f.dialect.MatchesRequest(h, c) },
	}, a.Address)
	if err != nil {
		return nil, err
	}
	rep := e.f.dialect.Reply(resp, c)
	ans := &answer{e: e, resp: resp, head: rep.Head, recording: c.Key != "" && !c.Class.Repeatable}
	if err := ans.bufferBody(ctx, rep.Bufferable); err != nil {
		return nil, err
	}
	if rep.Refused != mwcode.OK {
		ans.Drop()
		return nil, mwcode.New(rep.Refused)
	}
	removeSystemHeaders(resp.Header)
	return ans, nil
}

// Failed reports whether an HTTP status means that the backend server failed to
// process the call.
func Failed(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// request returns a copy of the incoming request for the next hop at addr.
func (e *exchange) request(addr mwid.Address) *http.Request {
	out := &http.Request{
		Method: e.r.Method,
		URL: &url.URL{
			Scheme: "http", Host: string(addr), Path: e.r.URL.Path,
			RawPath: e.r.URL.RawPath, RawQuery: e.r.URL.RawQuery, ForceQuery: e.r.URL.ForceQuery,
		},
		Host: e.r.Host, Header: e.r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Trailer: e.r.Trailer,
	}
	removeHopHeaders(out.Header)
	removeSystemHeaders(out.Header)
	out.Header.Del("Expect")
	hideReplayKeys(out.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // Keeps net/http from adding its own.
	}
	e.body.attach(out)
	return out
}

// Resendable reports whether the request's body can be sent again from its
// start.
func (e *exchange) Resendable() bool { return e.body.resendable() }

// Held reports whether the request's body is held in memory.
func (e *exchange) Held() bool { return e.body.held }

// forward1xx forwards an informational answer to the caller, unless the head of
// the final answer was sent or is about to be. It never forwards 100 and 101.
func (e *exchange) forward1xx(code int, h textproto.MIMEHeader) error {
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.committed {
		return nil
	}
	header := e.w.Header()
	maps.Copy(header, http.Header(h))
	e.w.WriteHeader(code)
	clear(header)
	return nil
}

// commit reports whether the head of the answer may now be written. It returns
// true only once, so that a call gets only one answer.
func (e *exchange) commit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok := !e.committed
	e.committed = true
	return ok
}

// keepBody keeps net/http's server from reading the rest of a streamed request body
// when the head of the answer is written. The next hop may answer early and still
// read that body, whose bytes must all go there. The connection is closed after the
// answer, since the server can't tell where a body ends that it did not read.
func (e *exchange) keepBody() {
	if !e.body.streamed() || e.in.atEnd() {
		return
	}
	if err := http.NewResponseController(e.w).EnableFullDuplex(); err != nil {
		e.abort = true // The rest of the body would be lost.
		return
	}
	e.w.Header().Set("Connection", "close")
}

// Refuse answers with err.
func (e *exchange) Refuse(err error, h mwcall.Head) {
	if !e.commit() {
		return
	}
	if e.body.readStarted.Load() {
		e.keepBody()
	}
	h.Code = mwcode.CodeOf(err)
	e.f.refuse(e.w, e.c, err, h, e.fromPeer)
}

// Status returns the HTTP status for a code.
func Status(c mwcode.Code) int {
	switch c {
	case mwcode.BadRequest, mwcode.NoKey, mwcode.BadValue, mwcode.TooDeep:
		return http.StatusBadRequest
	case mwcode.NoRoute:
		return http.StatusNotFound
	case mwcode.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case mwcode.HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case mwcode.CallerRatio, mwcode.CallerLimit:
		return http.StatusTooManyRequests
	case mwcode.DeadlinePassed, mwcode.DeadlineTooShort, mwcode.Silent:
		return http.StatusGatewayTimeout
	case mwcode.Held, mwcode.KeyReused:
		return http.StatusConflict
	case mwcode.KeyUnproven:
		return http.StatusServiceUnavailable
	}
	if c.OutcomeUnknown() {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// isUpgrade reports whether r requests another protocol or a tunnel, neither of
// which is supported.
func isUpgrade(r *http.Request) bool {
	return r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" &&
		strings.Contains(strings.ToLower(r.Header.Get("Connection")), "upgrade")
}
