package mwhttp

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which apply to one connection (RFC
// 9110, section 7.6.1) and are never forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the hop-by-hop headers from h, including those that
// its Connection header lists.
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

// hideReplayKeys writes the names of idempotency keys in h in lower case, which
// net/http's Transport does not recognize. The Transport resends a request with
// such a key by itself when a connection breaks, whether or not the first
// attempt ran. Header names are case-insensitive, so the backend server still
// receives the key.
func hideReplayKeys(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
}
