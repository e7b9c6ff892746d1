package mwhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// AnnouncePath is the path at which a backend server announces itself on the
// local listener.
const AnnouncePath = "/mw/announce"

// maxAnnouncement is the maximum size of an announcement in bytes.
const maxAnnouncement = 64 << 10

// Announcement is the JSON form of mwcall.Announcement. Instance, Started and Seq are
// optional: without Started, each announcement replaces the one before, in the order in
// which they arrive.
type Announcement struct {
	Service     mwid.ServiceName
	Address     mwid.Address
	Instance    mwid.InstanceID `json:",omitempty"`
	Started     time.Time       `json:",omitzero"`
	Seq         uint64          `json:",omitempty"`
	Slots       mwunit.Slots
	Connections mwunit.Connections
	Labels      mwlabel.Set       `json:",omitempty"`
	TTL         mwconfig.Duration `json:",omitempty"`
	Leaving     bool              `json:",omitempty"`
}

// announceHandler serves AnnouncePath.
type announceHandler struct{ k *mwkernel.Kernel }

// checker returns the health checker of the product's own dialect.
func (a announceHandler) checker() HealthChecker {
	return HealthChecker{Kernel: a.k, InstanceHeader: HeaderInstance, NotRunHeader: HeaderNotRun}
}

// ServeHTTP accepts an announcement by PUT and withdraws it by DELETE.
func (a announceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		a.put(w, r)
	case http.MethodDelete:
		a.withdraw(w, r)
	default:
		w.Header().Set("Allow", "PUT, DELETE")
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (a announceHandler) put(w http.ResponseWriter, r *http.Request) {
	var v Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	dec.DisallowUnknownFields()
	err := dec.Decode(&v)
	if err != nil {
		err = mwcode.New(mwcode.BadDocument, mwcode.Wrap(err),
			mwcode.Expected("an announcement as in docs/PROTOCOL.md"))
	} else {
		err = a.announce(r.Context(), v)
	}
	if err != nil {
		writeError(w, AnnouncementStatus(err), err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// announce passes v to the kernel, which checks one with a start time if it may be
// outdated.
func (a announceHandler) announce(ctx context.Context, v Announcement) error {
	switch {
	case v.Started.IsZero():
		return a.k.Announce(v.announcement())
	case v.Instance == "":
		return mwcode.New(mwcode.BadValue, mwcode.Field("Instance"), mwcode.Expected("an id, beside Started"))
	}
	return a.k.AnnounceChecked(ctx, v.announcement(), a.checker().Check)
}

// AnnouncementStatus returns the HTTP status for an announcement that the kernel rejects
// with err: 503 if the backend server should send another one, else 400.
func AnnouncementStatus(err error) int {
	if mwcode.CodeOf(err) == mwcode.Unconfirmed {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// withdraw withdraws what the query names: the instance Instance, unless it started
// after Started, or else the backend server of Service.
func (a announceHandler) withdraw(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var started time.Time
	if v := q.Get("Started"); v != "" {
		var err error
		if started, err = time.Parse(time.RFC3339Nano, v); err != nil {
			writeError(w, http.StatusBadRequest, mwcode.New(mwcode.BadValue, mwcode.Field("Started"), mwcode.Wrap(err),
				mwcode.Expected("a time as in RFC 3339")))
			return
		}
	}
	if id := mwid.InstanceID(q.Get("Instance")); id != "" {
		a.k.WithdrawInstance(id, started)
	} else {
		a.k.Withdraw(mwid.ServiceName(q.Get("Service")))
	}
	w.WriteHeader(http.StatusNoContent)
}

func (v Announcement) announcement() mwcall.Announcement {
	return mwcall.Announcement{
		Service: v.Service, Address: v.Address, Instance: v.Instance, Started: v.Started, Seq: v.Seq,
		Slots: v.Slots, Connections: v.Connections,
		Labels: v.Labels, TTL: time.Duration(v.TTL), Leaving: v.Leaving,
	}
}

// writeError answers with err as JSON.
func writeError(w http.ResponseWriter, status int, err error) {
	v := mwcode.ReportOf(err)
	v.Cause = err.Error()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
