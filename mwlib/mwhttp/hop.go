package mwhttp

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are headers that belong to one connection (RFC 9110, section
// 7.6.1) and are never passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the headers of one connection from h, also those that
// the Connection header names.
func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// hideReplayKeys makes net/http's Transport see no key in h. The Transport
// sends a request with such a key again by itself when a connection breaks,
// whether or not the first one ran. Names of headers do not depend on case,
// so the backend server still gets the key.
func hideReplayKeys(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
}
