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

// Dialect is how the callers and backend servers of one platform write what
// the node has to know of a call. It translates only; what becomes of a call
// is decided elsewhere. Nodes among themselves always write the headers of
// docs/PROTOCOL.md.
type Dialect interface {
	// Call returns the call of a request by a caller or by this VM's own
	// backend server.
	Call(r *http.Request, o mwcall.Origin, now time.Time) (*mwcall.Call, error)
	// ID returns the caller's id of a request, empty where it has none.
	ID(h http.Header) mwid.RequestID
	// Hand writes into h what the backend server of a is told of c.
	Hand(h http.Header, c *mwcall.Call, a mwcall.Announcement, now time.Time)
	// Belongs tells whether an answer of a backend server is one to c.
	Belongs(h http.Header, c *mwcall.Call) bool
	// Reply returns what a backend server's answer says.
	Reply(resp *http.Response, c *mwcall.Call) Reply
	// Refuse answers the caller of c with err; c is nil where the request
	// could not be read.
	Refuse(w http.ResponseWriter, c *mwcall.Call, err error, h mwcall.Head)
	// Control serves the control listener, by which backend servers announce
	// themselves, and the ready listener.
	Control(k *mwkernel.Kernel) http.Handler
}

// Reply is what an answer of a backend server says.
type Reply struct {
	// Refused is the code of an answer that is not passed on: of a backend
	// server that says that it did not run the call, or of one whose status
	// would promise the caller what is not known. It is OK for any other.
	Refused mwcode.Code
	// Head is the head of an answer that is none of these.
	Head mwcall.Head
	// Brief tells that an answer without a length is no stream whose pieces
	// come far apart, so that it may be read whole before it is passed on.
	Brief bool
}

// Dialects is the extension point for dialects; settings pick one by name.
var Dialects = mwregistry.New[mwkernel.Env, Dialect]("dialect")

// HeaderDialectName is the name of the product's own dialect.
const HeaderDialectName mwregistry.Name = "headers"

func init() {
	Dialects.Register(HeaderDialectName, func(mwkernel.Env) (Dialect, mwregistry.Cleanup, error) {
		return HeaderDialect{}, nil, nil
	})
}

// HeaderDialect is the product's own dialect, which docs/PROTOCOL.md describes.
type HeaderDialect struct{}

var _ Dialect = HeaderDialect{}

// Call reads the headers that callers and backend servers may set.
func (HeaderDialect) Call(r *http.Request, o mwcall.Origin, now time.Time) (*mwcall.Call, error) {
	return decode(r, o, now)
}

// ID returns nothing: the product's own protocol has no such id.
func (HeaderDialect) ID(http.Header) mwid.RequestID { return "" }

// Hand writes the headers for backend servers.
func (HeaderDialect) Hand(h http.Header, c *mwcall.Call, _ mwcall.Announcement, now time.Time) {
	encodeBackend(h, c, now)
}

// Belongs is true: answers carry no id.
func (HeaderDialect) Belongs(http.Header, *mwcall.Call) bool { return true }

// Reply tells a refusal by HeaderNotRun.
func (HeaderDialect) Reply(resp *http.Response, _ *mwcall.Call) Reply {
	if resp.Header.Get(HeaderNotRun) == trueValue {
		return Reply{Refused: mwcode.BackendFull}
	}
	r := Reply{Head: mwcall.Head{Failed: Failed(resp.StatusCode)}}
	r.Head.Elsewhere = r.Head.Failed
	if resp.StatusCode == http.StatusServiceUnavailable {
		r.Head.Code = mwcode.BackendUnavailable
	}
	return r
}

// Refuse writes the code as headers and JSON.
func (HeaderDialect) Refuse(w http.ResponseWriter, _ *mwcall.Call, err error, h mwcall.Head) {
	writeRefusal(w, err, h, false)
}

// Control serves announcements and, on any other path, readiness.
func (HeaderDialect) Control(k *mwkernel.Kernel) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(AnnouncePath, announceHandler{k})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(ReadyStatus(k)) })
	return mux
}

// ReadyStatus returns the status that tells whether a node takes calls.
func ReadyStatus(k *mwkernel.Kernel) int {
	if k.Ready() {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

// writeRefusal writes a refusal in the headers of docs/PROTOCOL.md.
func writeRefusal(w http.ResponseWriter, err error, h mwcall.Head, toPeer bool) {
	encodeHead(w.Header(), h, toPeer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(Status(h.Code))
	v := mwcode.ReportOf(err)
	v.Outcome = outcome(v.Code)
	json.NewEncoder(w).Encode(v)
}
