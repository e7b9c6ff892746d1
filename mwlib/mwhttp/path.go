package mwhttp

import (
	"net/url"
	"strings"
)

// PathOf returns the path of a request for the selection of routes and labels. It is
// the decoded path, except that an encoded slash stays encoded: it belongs to a
// segment and separates none.
func PathOf(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path
	}
	segments := strings.Split(u.EscapedPath(), "/")
	for i, s := range segments {
		if v, err := url.PathUnescape(s); err == nil {
			segments[i] = strings.ReplaceAll(v, "/", "%2F")
		}
	}
	return strings.Join(segments, "/")
}
