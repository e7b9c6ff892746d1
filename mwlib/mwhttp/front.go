package mwhttp

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwtimer"
	"mustardwheel.example/mwlib/mwunit"
)

// Front is the HTTP front end of a node. It has a handler for each listener;
// the handlers differ in the headers that they trust. The kernel decides how a
// call proceeds. A request body up to the buffer's size is held in memory so
// that it can be resent. Of an answer's body, at most maxBufferedBody is held
// before it is sent, and a copy of up to maxStoredBody if the answer is to be
// stored. Everything else is streamed, so that the memory of a call is bounded
// whatever its size.
type Front struct {
	k             *mwkernel.Kernel
	dialect       Dialect
	buffer        mwunit.Bytes
	idle          time.Duration
	streamedPeers *pool  // for calls to other nodes with a streamed body
	bufferedPeers *links // for all other calls to other nodes
	backends      *links
}

// options holds the optional parameters of New.
type options struct{ dialect Dialect }

// Option sets an optional parameter of New.
type Option = mwoption.Option[options]

// WithDialect sets the dialect of callers and backend servers. The default is
// HeaderDialect.
func WithDialect(d Dialect) Option { return func(o *options) { o.dialect = d } }

// sweepPeriod is the interval between two searches for expired connections and
// unused transports.
const sweepPeriod = 5 * time.Second

// New returns the Front of k. The returned function closes its connections
// to other nodes and to backend servers.
func New(k *mwkernel.Kernel, set mwsetting.Relay, opts ...Option) (*Front, func()) {
	o := options{dialect: HeaderDialect{}}
	mwoption.Apply(&o, opts...)
	f := &Front{
		k: k, dialect: o.dialect, buffer: set.Buffer, idle: set.Idle,
		streamedPeers: newPool(),
		bufferedPeers: newLinks(peerLinkConfig, k.Env().Panics),
		backends:      newLinks(backendLinkConfig, k.Env().Panics),
	}
	stop := mwtimer.Every(sweepPeriod, k.Env().Panics.Tick("connections", func(now time.Time) {
		f.streamedPeers.sweep(now)
		f.bufferedPeers.sweep(now)
		f.backends.sweep(now)
	}))
	return f, func() {
		stop()
		f.streamedPeers.close()
		f.bufferedPeers.close()
		f.backends.close()
	}
}

// Entry returns the handler of the listener for callers.
func (f *Front) Entry() http.Handler { return f.handler(mwcall.Entry) }

// Local returns the handler of the listener for this VM's backend server, which
// sends its calls and its announcements there.
func (f *Front) Local() http.Handler {
	calls := f.handler(mwcall.Local)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == AnnouncePath {
			announceHandler{f.k}.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// Peer returns the handler of the listener for other nodes.
func (f *Front) Peer() http.Handler { return f.handler(mwcall.Peer) }

func (f *Front) handler(o mwcall.Origin) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(w, r, o) })
}

// serve serves one request. It aborts the connection if the answer is
// incomplete.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, o mwcall.Origin) {
	fromPeer, limits := o == mwcall.Peer, f.limits(o)
	c, err := f.call(r, o)
	if err == nil && isUpgrade(r) {
		err = badHeader("Upgrade", "a request of HTTP")
	}
	if err == nil {
		err = checkLimits(r, limits)
	}
	if err != nil {
		f.refuse(w, c, err, mwcall.Head{Code: mwcode.CodeOf(err)}, fromPeer)
		return
	}
	// r.Body itself is not replaced: net/http's server inspects its type to
	// find out whether the sender still waits for 100 Continue.
	memory := mwmemory.FromContext(r.Context())
	in := &limitedBody{
		rc: http.NewResponseController(w), body: r.Body, idle: f.idle, maxBytes: limits.BodyBytes,
		memory: memory, trailer: func() http.Header { return r.Trailer },
	}
	b, err := f.receiveBody(in, r.ContentLength, memory)
	if err != nil {
		h := bodyRefusalHead(c, err)
		f.logBodyRefusal(c, h.Code)
		f.refuse(w, c, err, h, fromPeer)
		return
	}
	e := &exchange{f: f, w: w, r: r, c: c, body: b, in: in, fromPeer: fromPeer, memory: memory}
	f.k.Serve(r.Context(), c, e)
	if e.abort {
		panic(http.ErrAbortHandler)
	}
	in.stop()
}

// receiveBody returns the body that is read from in. Until it is complete, nothing
// has run, so the connection may be evicted.
func (f *Front) receiveBody(in *limitedBody, length int64, memory *mwmemory.Account) (*body, error) {
	memory.Unpin()
	b, err := newBody(in, length, f.buffer, memory)
	if !memory.Pin() || errors.Is(err, mwmemory.ErrFull) {
		return nil, mwcode.New(mwcode.MemoryFull, mwcode.Wrap(mwmemory.ErrFull))
	}
	if err != nil && mwcode.CodeOf(err) != mwcode.BodyTooLarge {
		err = mwcode.New(mwcode.CallerGone, mwcode.Wrap(err))
	}
	return b, err
}

// memoryRetryAfter is how long a caller should wait that was refused for lack of
// memory. Silent connections hold theirs for seconds.
const memoryRetryAfter = time.Second

// bodyRefusalHead returns the head of the refusal of c, whose body was not received
// because of err.
func bodyRefusalHead(c *mwcall.Call, err error) mwcall.Head {
	h := mwcall.Head{Code: mwcode.CodeOf(err)}
	if h.Code == mwcode.MemoryFull {
		h.Unused, h.RetryElsewhere, h.RetryAfter = c.Budget, true, memoryRetryAfter
	}
	return h
}

// logBodyRefusal logs that c was refused while its body was received.
func (f *Front) logBodyRefusal(c *mwcall.Call, code mwcode.Code) {
	f.k.Log().Info("call refused", "ID", c.ID, "Root", c.Root, "Service", c.Service,
		"Code", int(code), "Reason", code.String())
}

// Refusal returns a handler that refuses requests with origin o for lack of memory.
// It does not use the request.
func (f *Front) Refusal(o mwcall.Origin) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h := mwcall.Head{Code: mwcode.MemoryFull, RetryElsewhere: true, RetryAfter: memoryRetryAfter}
		f.refuse(w, nil, mwcode.New(mwcode.MemoryFull), h, o == mwcall.Peer)
	})
}

// call returns the call of r. Requests from other nodes are decoded by decode,
// all others by the dialect.
func (f *Front) call(r *http.Request, o mwcall.Origin) (*mwcall.Call, error) {
	if o != mwcall.Peer {
		return f.dialect.Call(r, o, time.Now())
	}
	c, err := decode(r, o, time.Now())
	if c != nil {
		c.ID, c.Host = f.dialect.ID(r.Header), r.Host
	}
	return c, err
}

// limits returns the limits of a request with origin o: those configured for
// callers, or none if the sender is a node or there is no configuration yet.
func (f *Front) limits(o mwcall.Origin) mwconfig.CallerLimits {
	s := f.k.Configuration().Snapshot()
	if o == mwcall.Peer || s == nil {
		return mwconfig.CallerLimits{}
	}
	return s.CallerLimits()
}

// checkLimits checks the size of a request as far as its headers state it.
func checkLimits(r *http.Request, l mwconfig.CallerLimits) error {
	if l.HeaderBytes > 0 && headerSize(r) > l.HeaderBytes {
		return mwcode.New(mwcode.HeaderTooLarge, mwcode.Expected(fmt.Sprintf("at most %d bytes", l.HeaderBytes)))
	}
	if l.BodyBytes > 0 && r.ContentLength > int64(l.BodyBytes) {
		return bodyTooLarge(l.BodyBytes)
	}
	return nil
}

func bodyTooLarge(limit mwunit.Bytes) error {
	return mwcode.New(mwcode.BodyTooLarge, mwcode.Expected(fmt.Sprintf("at most %d bytes", limit)))
}

// Sizes in bytes of the fixed parts of a request's header. A header may be sent
// without carriage returns, and without a space after the colons.
const (
	requestLineBytes = len("  HTTP/1.1\n")
	headerLineBytes  = len(":\n")
	hostLineBytes    = len("Host:\n")
)

// headerSize returns the least size in bytes with which r's header can have been
// sent. The parsed header does not show the actual one, and a header that is within
// the limit must not be refused.
func headerSize(r *http.Request) mwunit.Bytes {
	n := requestLineBytes + len(r.Method) + len(r.RequestURI) + hostLineBytes + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += headerLineBytes + len(k) + len(v)
		}
	}
	return mwunit.Bytes(n)
}

// refuse answers with err: to another node in the headers for nodes, to others
// in the dialect.
func (f *Front) refuse(w http.ResponseWriter, c *mwcall.Call, err error, h mwcall.Head, toPeer bool) {
	if toPeer {
		writeRefusal(w, err, h, true)
		return
	}
	f.dialect.Refuse(w, c, err, h)
}
