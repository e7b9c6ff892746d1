package mwadmin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
)

// maxRequestBytes is the maximum size of a request body in bytes.
const maxRequestBytes = 64 << 10

// Handler serves the admin listener of one node.
type Handler struct {
	k     *mwkernel.Kernel
	set   *metrics.Set
	drain func()
	mux   *http.ServeMux
}

// NewHandler returns the Handler of k. The function drain is called in the
// goroutine of the request with which an operator drains the node; it must not
// block. Profiles are served if profiles is true.
func NewHandler(k *mwkernel.Kernel, set *metrics.Set, drain func(), profiles bool) *Handler {
	h := &Handler{k: k, set: set, drain: drain, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+MetricsPath, h.metrics)
	h.mux.HandleFunc("GET "+HealthPath, h.health)
	h.mux.HandleFunc("GET "+ReadyPath, h.ready)
	h.mux.HandleFunc("GET "+StatusPath, h.status)
	h.mux.HandleFunc("GET "+TargetsPath, h.targets)
	h.mux.HandleFunc("POST "+ExplainPath, h.explain)
	h.mux.HandleFunc("POST "+DrainPath, h.startDrain)
	if profiles {
		h.profiles()
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) profiles() {
	h.mux.HandleFunc("/debug/pprof/", pprof.Index)
	h.mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	h.mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	h.mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	h.mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	h.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) { writeJSON(w, Health{OK: true}) }

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	v := Health{Reasons: h.notReady()}
	v.OK = len(v.Reasons) == 0
	if !v.OK {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusServiceUnavailable)
		json.NewEncoder(w).Encode(v)
		return
	}
	writeJSON(w, v)
}

// notReady returns the reasons why the node should not receive calls.
func (h *Handler) notReady() []string {
	var rs []string
	if h.k.Draining() {
		rs = append(rs, "the node is draining")
	}
	if h.k.Configuration().Snapshot() == nil {
		rs = append(rs, "no configuration from the store or from a peer yet")
	}
	if len(h.k.Announced()) == 0 {
		rs = append(rs, "no backend server is announced")
	}
	return rs
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	self := h.k.Self()
	v := Status{
		Node: self.Node, Zone: self.Zone, Region: self.Region,
		Draining: h.k.Draining(), Zones: h.k.Membership().Zones(),
	}
	if s := h.k.Configuration().Snapshot(); s != nil {
		v.Configured, v.Version = true, s.Version()
	}
	for _, a := range h.k.Announced() {
		v.Services = append(v.Services, ServiceStatus{
			Service: a.Service, Address: a.Address, Leaving: a.Leaving,
			Load: h.k.Admission().Load(a.Service),
		})
	}
	writeJSON(w, v)
}

func (h *Handler) targets(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, h.k.Targets(mwid.ServiceName(r.URL.Query().Get("Service"))))
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	var q ExplainRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, mwcode.New(mwcode.BadDocument, mwcode.Wrap(err)))
		return
	}
	writeJSON(w, explain(h.k, q))
}

func (h *Handler) startDrain(w http.ResponseWriter, _ *http.Request) {
	h.drain()
	w.WriteHeader(http.StatusAccepted)
}

// writeJSON writes v as JSON.
func writeJSON[T any](w http.ResponseWriter, v T) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(mwcode.ReportOf(err))
}
