package mwhttp

import (
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

// Announcement is the JSON form of mwcall.Announcement.
type Announcement struct {
	Service     mwid.ServiceName
	Address     mwid.Address
	Slots       mwunit.Slots
	Connections mwunit.Connections
	Labels      mwlabel.Set       `json:",omitempty"`
	TTL         mwconfig.Duration `json:",omitempty"`
	Leaving     bool              `json:",omitempty"`
}

// announceHandler serves AnnouncePath.
type announceHandler struct{ k *mwkernel.Kernel }

// ServeHTTP accepts an announcement by PUT and withdraws it by DELETE.
func (a announceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		a.put(w, r)
	case http.MethodDelete:
		a.k.Withdraw(mwid.ServiceName(r.URL.Query().Get("Service")))
		w.WriteHeader(http.StatusNoContent)
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
		err = a.k.Announce(v.announcement())
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (v Announcement) announcement() mwcall.Announcement {
	return mwcall.Announcement{
		Service: v.Service, Address: v.Address, Slots: v.Slots, Connections: v.Connections,
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
