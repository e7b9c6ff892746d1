// Package mwstorehttp carries the platform's table and object store over
// HTTP with JSON bodies: a handler over any mwstore.Store, and a client.
// docs/STORE-PROTOCOL.md describes the messages.
package mwstorehttp

import (
	"net/http"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwstore"
)

// Paths of the protocol.
const (
	getPath       = "/table/get"
	scanPath      = "/table/scan"
	commitPath    = "/table/commit"
	putObjectPath = "/object/put"
	getObjectPath = "/object/get"
	faultsPath    = "/admin/faults"
	losePath      = "/admin/lose"
	usagePath     = "/admin/usage"
)

// maxBody bounds the body of a message in bytes.
const maxBody = 64 << 20

// keyMessage asks for one row or object.
type keyMessage struct {
	Key mwstore.Key
}

// scanMessage asks for rows.
type scanMessage struct {
	Prefix mwstore.Key
	After  mwstore.Key
	Limit  int
}

// rowsMessage answers a scanMessage.
type rowsMessage struct {
	Rows []mwstore.Row
}

// objectMessage holds an object.
type objectMessage struct {
	Key   mwstore.Key
	Value []byte
}

// emptyMessage answers where there is nothing to say.
type emptyMessage struct{}

// errorMessage answers a request that failed.
type errorMessage struct {
	Code  mwcode.Code
	Name  string
	Field string `json:",omitempty"`
}

// statusOf returns the HTTP status of an answer with code c.
func statusOf(c mwcode.Code) int {
	switch c {
	case mwcode.NotFound:
		return http.StatusNotFound
	case mwcode.Conflict:
		return http.StatusConflict
	case mwcode.StoreSlow:
		return http.StatusTooManyRequests
	case mwcode.StoreAway:
		return http.StatusServiceUnavailable
	case mwcode.BadDocument:
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

// codeOf tells whether an answer with HTTP status n may carry code c.
func codeOf(n int, c mwcode.Code) bool { return c != mwcode.OK && statusOf(c) == n }
