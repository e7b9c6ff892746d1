package mwhttp

import (
	"encoding/json"
	"net/http"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwregistry"
)

// Dialect translates between calls and the headers by which the callers and
// backend servers of one platform express them. It only translates: the kernel
// decides what happens to a call. Among themselves, nodes always use the
// headers of docs/PROTOCOL.md.
type Dialect interface {
	// Call returns the call of a request from a caller or from this VM's own
	// backend server.
	Call(r *http.Request, o mwcall.Origin, now time.Time) (*mwcall.Call, error)
	// ID returns the caller's id of a request, or "" if it has none.
	ID(h http.Header) mwid.RequestID
	// EncodeRequest sets in h the headers by which c is sent to the backend server
	// announced by a.
	EncodeRequest(h http.Header, c *mwcall.Call, a mwcall.Announcement, now time.Time)
	// MatchesRequest reports whether an answer of a backend server with headers h
	// answers c.
	MatchesRequest(h http.Header, c *mwcall.Call) bool
	// Reply interprets the answer of a backend server to c.
	Reply(resp *http.Response, c *mwcall.Call) Reply
	// Refuse answers the caller of c with err and h; c is nil if the request
	// could not be decoded.
	Refuse(w http.ResponseWriter, c *mwcall.Call, err error, h mwcall.Head)
	// Control returns the handler of the control listener, on which backend
	// servers announce themselves, and of the ready listener.
	Control(k *mwkernel.Kernel) http.Handler
}

// Reply is the interpretation of a backend server's answer.
type Reply struct {
	// Refused is mwcode.OK if the answer is passed on. Otherwise it is the code
	// that replaces the answer. That is the case if the backend server reports
	// that it did not run the call, or if callers would take the status to mean
	// that it did not, although it may have.
	Refused mwcode.Code
	// Head is the head of an answer whose Refused is OK.
	Head mwcall.Head
	// Bufferable means that an answer without a length is not a stream with
	// long gaps between its pieces, so that it may be read completely before it
	// is passed on.
	Bufferable bool
}

// Dialects is the extension point for dialects. The settings select one by
// name.
var Dialects = mwregistry.New[mwkernel.Env, Dialect]("dialect")

// HeaderDialectName is the registry name of HeaderDialect.
const HeaderDialectName mwregistry.Name = "headers"

func init() {
	Dialects.Register(HeaderDialectName, func(mwkernel.Env) (Dialect, mwregistry.Cleanup, error) {
		return HeaderDialect{}, nil, nil
	})
}

// HeaderDialect is the default dialect, with the headers of docs/PROTOCOL.md.
type HeaderDialect struct{}

var _ Dialect = HeaderDialect{}

// Call decodes the headers that callers and backend servers may set.
func (HeaderDialect) Call(r *http.Request, o mwcall.Origin, now time.Time) (*mwcall.Call, error) {
	return decode(r, o, now)
}

// ID returns "": callers send no request id in this dialect.
func (HeaderDialect) ID(http.Header) mwid.RequestID { return "" }

// EncodeRequest sets the headers for backend servers.
func (HeaderDialect) EncodeRequest(h http.Header, c *mwcall.Call, _ mwcall.Announcement, now time.Time) {
	encodeBackend(h, c, now)
}

// MatchesRequest returns true: answers carry no id in this dialect.
func (HeaderDialect) MatchesRequest(http.Header, *mwcall.Call) bool { return true }

// Reply recognizes a refusal by HeaderNotRun.
func (HeaderDialect) Reply(resp *http.Response, _ *mwcall.Call) Reply {
	if resp.Header.Get(HeaderNotRun) == trueValue {
		return Reply{Refused: mwcode.BackendFull}
	}
	r := Reply{Head: mwcall.Head{Failed: Failed(resp.StatusCode)}}
	r.Head.RetryElsewhere = r.Head.Failed
	if resp.StatusCode == http.StatusServiceUnavailable {
		r.Head.Code = mwcode.BackendUnavailable
	}
	return r
}

// Refuse answers with the code in the headers and err as JSON.
func (HeaderDialect) Refuse(w http.ResponseWriter, _ *mwcall.Call, err error, h mwcall.Head) {
	writeRefusal(w, err, h, false)
}

// Control serves announcements at AnnouncePath and readiness at any other
// path.
func (HeaderDialect) Control(k *mwkernel.Kernel) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(AnnouncePath, announceHandler{k})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(ReadyStatus(k)) })
	return mux
}

// ReadyStatus returns the HTTP status that reports whether the node accepts
// calls: 200 or 503.
func ReadyStatus(k *mwkernel.Kernel) int {
	if k.Ready() {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

// writeRefusal answers with the headers of docs/PROTOCOL.md and err as JSON;
// toPeer means that the answer goes to another node.
func writeRefusal(w http.ResponseWriter, err error, h mwcall.Head, toPeer bool) {
	encodeHead(w.Header(), h, toPeer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(Status(h.Code))
	v := mwcode.ReportOf(err)
	v.Outcome = outcome(v.Code)
	json.NewEncoder(w).Encode(v)
}
