package mwconn

import (
	"bytes"
	"io"
	"net/http"
)

// recorder is an http.ResponseWriter that keeps the answer.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

var _ http.ResponseWriter = (*recorder)(nil)

func newRecorder() *recorder {
	return &recorder{status: http.StatusOK, header: make(http.Header)}
}

// Header returns the headers of the answer.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader sets the status of the answer.
func (w *recorder) WriteHeader(status int) { w.status = status }

// Write adds p to the body of the answer.
func (w *recorder) Write(p []byte) (int, error) { return w.body.Write(p) }

// response returns the answer, after which its connection is to be closed.
func (w *recorder) response() *http.Response {
	return &http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()),
	}
}
