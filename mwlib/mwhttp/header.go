// Package mwhttp is the HTTP front end of a node. It decodes requests into
// calls, forwards them to other nodes or delivers them to backend servers, and
// relays the answers. It translates between HTTP and the kernel's types only;
// all decisions about a call are the kernel's, so that another front end can
// use them. docs/PROTOCOL.md describes the headers.
package mwhttp

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// Headers of the protocol between callers, nodes and backend servers.
const (
	HeaderService     = "Mw-Service"
	HeaderCaller      = "Mw-Caller"
	HeaderKey         = "Mw-Key"
	HeaderFirst       = "Mw-First"
	HeaderResubmitted = "Mw-Resubmitted"
	HeaderTimeout     = "Mw-Timeout"
	HeaderRoot        = "Mw-Root"
	HeaderParent      = "Mw-Parent"
	HeaderAttempt     = "Mw-Attempt"
	HeaderDepth       = "Mw-Depth"
	HeaderBudget      = "Mw-Budget"
	HeaderRepeated    = "Mw-Repeated"
	HeaderImportance  = "Mw-Importance"
	HeaderCode        = "Mw-Code"
	HeaderOutcome     = "Mw-Outcome"
	HeaderWait        = "Mw-Wait"
	HeaderUnused      = "Mw-Unused"
	HeaderElsewhere   = "Mw-Elsewhere"
	HeaderThreshold   = "Mw-Threshold"
	HeaderNotRun      = "Mw-Not-Run"
	HeaderInstance    = "Mw-Instance"
	HeaderLoad        = "Mw-Load"
)

// headerPrefix is the prefix of the names of all protocol headers.
const headerPrefix = "Mw-"

// trueValue is the value of a boolean header that is set. A false one is
// omitted.
const trueValue = "1"

// Values of HeaderOutcome.
const (
	outcomeNotRun  = "NotRun"
	outcomeUnknown = "OutcomeUnknown"
)

// MaxTimeout is the maximum timeout of a call. Longer ones that a caller
// requests are reduced to it.
const MaxTimeout = 10 * time.Minute

// decode returns the call that r requests, received with origin o. It ignores
// headers that senders of that origin are not trusted to set.
func decode(r *http.Request, o mwcall.Origin, now time.Time) (*mwcall.Call, error) {
	h := r.Header
	c := &mwcall.Call{
		Caller: mwid.CallerName(h.Get(HeaderCaller)), Service: serviceOf(r),
		Method: r.Method, Path: PathOf(r.URL),
		Key: mwid.CallKey(h.Get(HeaderKey)), First: h.Get(HeaderFirst) == trueValue,
		Resubmitted: h.Get(HeaderResubmitted) == trueValue, Origin: o, Host: r.Host,
	}
	if c.Service == "" {
		return nil, badHeader(HeaderService, "the name of a service")
	}
	if err := decodeTimeout(c, h, now); err != nil {
		return nil, err
	}
	if o != mwcall.Entry {
		c.Root = mwid.RootID(h.Get(HeaderRoot))
	}
	if o == mwcall.Local {
		c.Parent = mwid.AttemptID(h.Get(HeaderParent))
	}
	if c.Root == "" {
		c.Root = mwid.NewRootID()
	}
	if o == mwcall.Peer {
		return c, decodePeer(c, h)
	}
	return c, nil
}

// decodePeer sets the fields of c that are accepted from other nodes only.
func decodePeer(c *mwcall.Call, h http.Header) error {
	c.Attempt = mwid.AttemptID(h.Get(HeaderAttempt))
	if c.Attempt == "" {
		return badHeader(HeaderAttempt, "the id of an attempt")
	}
	c.Repeated = h.Get(HeaderRepeated) == trueValue
	var err error
	if c.Depth, _, err = intHeader[mwunit.Depth](h, HeaderDepth); err != nil {
		return err
	}
	if c.Budget, c.HasBudget, err = intHeader[mwunit.Attempts](h, HeaderBudget); err != nil {
		return err
	}
	c.Importance, c.HasImportance, err = intHeader[mwunit.Importance](h, HeaderImportance)
	return err
}

func decodeTimeout(c *mwcall.Call, h http.Header, now time.Time) error {
	v := h.Get(HeaderTimeout)
	if v == "" {
		return nil
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		return badHeader(HeaderTimeout, `a duration above 0, such as "1.5s"`)
	}
	c.Deadline = now.Add(min(d, MaxTimeout))
	return nil
}

// serviceOf returns the service in the header HeaderService of r, or else the
// first label of its Host. It returns "" if Host is an IP address.
func serviceOf(r *http.Request) mwid.ServiceName {
	if s := r.Header.Get(HeaderService); s != "" {
		return mwid.ServiceName(s)
	}
	label, _, _ := strings.Cut(r.Host, ".")
	label, _, _ = strings.Cut(label, ":")
	if _, err := strconv.Atoi(label); err == nil || strings.HasPrefix(label, "[") {
		return ""
	}
	return mwid.ServiceName(label)
}

// maxNumber is the maximum value of an integer header.
const maxNumber = 1 << 20

// intHeader returns the integer in header name; ok is false if it is absent.
func intHeader[T ~int](h http.Header, name string) (v T, ok bool, err error) {
	s := h.Get(name)
	if s == "" {
		return 0, false, nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > maxNumber {
		return 0, false, badHeader(name, fmt.Sprintf("a number from 0 to %d", maxNumber))
	}
	return T(n), true, nil
}

func badHeader(name, expected string) error {
	return mwcode.New(mwcode.BadRequest, mwcode.Field(name), mwcode.Expected(expected))
}

// removeSystemHeaders removes all protocol headers from h.
func removeSystemHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// encodeCommon sets the headers that other nodes and backend servers both
// receive. maxMargin is the maximum margin subtracted from the timeout.
func encodeCommon(h http.Header, c *mwcall.Call, maxMargin time.Duration, now time.Time) {
	h.Set(HeaderService, string(c.Service))
	h.Set(HeaderRoot, string(c.Root))
	setNonEmpty(h, HeaderCaller, string(c.Caller))
	setNonEmpty(h, HeaderKey, string(c.Key))
	if d, ok := c.Remaining(now); ok {
		h.Set(HeaderTimeout, max(d-hopMargin(d, maxMargin), time.Millisecond).String())
	}
}

// hopMargin returns the part of the remaining time d that a hop reserves for
// itself, so that the next hop's refusal arrives before this hop's deadline.
func hopMargin(d, maxMargin time.Duration) time.Duration { return min(d/20, maxMargin) }

// Values of maxMargin.
const (
	maxHopMargin = 10 * time.Millisecond
	// maxRegionHopMargin applies to a hop to another region: a round trip of
	// 2 × 20 ms plus maxHopMargin.
	maxRegionHopMargin = 50 * time.Millisecond
)

// encodePeer sets the headers of a request for c to another node, which may
// be in another region.
func encodePeer(h http.Header, c *mwcall.Call, otherRegion bool, now time.Time) {
	maxMargin := maxHopMargin
	if otherRegion {
		maxMargin = maxRegionHopMargin
	}
	encodeCommon(h, c, maxMargin, now)
	h.Set(HeaderAttempt, string(c.Attempt))
	h.Set(HeaderDepth, strconv.Itoa(int(c.Depth)))
	h.Set(HeaderBudget, strconv.Itoa(int(c.Budget)))
	h.Set(HeaderImportance, strconv.Itoa(int(c.Class.Importance)))
	setFlag(h, HeaderFirst, c.First)
	setFlag(h, HeaderRepeated, c.Repeated)
	setFlag(h, HeaderResubmitted, c.Resubmitted)
}

// encodeBackend sets the headers of a request for c to a backend server.
func encodeBackend(h http.Header, c *mwcall.Call, now time.Time) {
	encodeCommon(h, c, maxHopMargin, now)
	h.Set(HeaderParent, string(c.Attempt))
}

func setNonEmpty(h http.Header, name, v string) {
	if v != "" {
		h.Set(name, v)
	}
}

func setFlag(h http.Header, name string, on bool) {
	if on {
		h.Set(name, trueValue)
	}
}

// encodeHead sets the headers of an answer with head hd. If toPeer is set, the
// answer goes to another node; only nodes receive the unused budget, the load
// and the other values for routing and retries.
func encodeHead(h http.Header, hd mwcall.Head, toPeer bool) {
	if hd.Code != mwcode.OK {
		h.Set(HeaderCode, strconv.Itoa(int(hd.Code)))
		h.Set(HeaderOutcome, outcome(hd.Code))
	}
	if hd.RetryAfter > 0 {
		s := (hd.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(s)))
	}
	if !toPeer {
		return
	}
	h.Set(HeaderUnused, strconv.Itoa(int(hd.Unused)))
	setFlag(h, HeaderElsewhere, hd.RetryElsewhere)
	if hd.RetryAfter > 0 {
		h.Set(HeaderWait, hd.RetryAfter.String())
	}
	if hd.Report.Known() {
		h.Set(HeaderLoad, encodeReport(hd.Report))
	}
	if hd.Threshold > 0 {
		h.Set(HeaderThreshold, strconv.FormatUint(uint64(hd.Threshold), 10))
	}
}

func outcome(c mwcode.Code) string {
	if c.NotRun() {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// decodeHead returns the head of another node's answer. Malformed values are
// treated as absent.
func decodeHead(h http.Header) mwcall.Head {
	code, _, _ := intHeader[mwcode.Code](h, HeaderCode)
	unused, _, _ := intHeader[mwunit.Attempts](h, HeaderUnused)
	threshold, _ := strconv.ParseUint(h.Get(HeaderThreshold), 10, 64)
	wait, err := time.ParseDuration(h.Get(HeaderWait))
	if err != nil || wait < 0 {
		wait = 0 // unknown
	}
	return mwcall.Head{
		Code: code, Unused: unused, RetryElsewhere: h.Get(HeaderElsewhere) == trueValue,
		Threshold:  mwcall.Priority(threshold),
		RetryAfter: wait, Report: decodeReport(h.Get(HeaderLoad)),
	}
}

// encodeReport encodes r as six comma-separated integers: the calls in flight,
// the queued calls, the concurrency limit, and Hold, Spent and Route in
// microseconds.
func encodeReport(r mwcall.Report) string {
	return fmt.Sprintf("%d,%d,%d,%d,%d,%d", r.InFlight, r.Queued, r.Limit,
		r.Hold.Microseconds(), r.Spent.Microseconds(), r.Route.Microseconds())
}

// decodeReport decodes the result of encodeReport. It returns the zero Report
// for any other input.
func decodeReport(s string) mwcall.Report {
	var n [6]int64
	parts := strings.Split(s, ",")
	if len(parts) != len(n) {
		return mwcall.Report{}
	}
	for i, p := range parts {
		v, err := strconv.ParseInt(p, 10, 64)
		if err != nil || v < 0 {
			return mwcall.Report{}
		}
		n[i] = v
	}
	return mwcall.Report{
		InFlight: mwunit.Slots(n[0]), Queued: mwunit.Slots(n[1]), Limit: mwunit.Slots(n[2]),
		Hold: time.Duration(n[3]) * time.Microsecond, Spent: time.Duration(n[4]) * time.Microsecond,
		Route: time.Duration(n[5]) * time.Microsecond,
	}
}
