package mwconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// ErrMalformed is the error for an answer that net/http accepts although it is
// malformed.
var ErrMalformed = errors.New("mwconn: malformed answer")

// AnswerTransport is an http.Transport that returns an error that wraps ErrMalformed
// for a malformed answer. CheckNames checks informational answers, which only an
// httptrace.ClientTrace gets.
type AnswerTransport struct{ *http.Transport }

var _ http.RoundTripper = AnswerTransport{}

// RoundTrip sends r and returns the answer.
func (t AnswerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkAnswer(resp); err != nil {
		resp.Body.Close()
		t.CloseIdleConnections() // Without a body, the connection is already idle.
		return nil, err
	}
	return resp, nil
}

// minStatus is the least status of an answer (RFC 9110, section 15).
const minStatus = http.StatusContinue

// checkAnswer returns an error that wraps ErrMalformed if the head of resp is
// malformed. The end of the body returns such an error if the trailers are.
func checkAnswer(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return fmt.Errorf("%w: status %q", ErrMalformed, resp.Status)
	}
	if len(resp.TransferEncoding) > 0 { // Only a body in chunks may have trailers.
		resp.Body = &trailerChecker{resp.Body, resp}
	}
	return CheckNames(resp.Header)
}

// CheckNames returns an error that wraps ErrMalformed if the name of a field in h has
// a blank. net/http refuses names with any other byte that no name may have, but a
// field such as "Content-Length : 2" is to it another one than Content-Length, and it
// finds another end of the answer than its sender.
func CheckNames(h http.Header) error {
	for name, values := range h {
		// A trailer that is announced but not sent has no values.
		if len(values) > 0 && strings.Contains(name, " ") {
			return fmt.Errorf("%w: name of a field %q", ErrMalformed, name)
		}
	}
	return nil
}

// trailerChecker is the body of resp. It checks the trailers, which are known at its
// end.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads from the body.
func (t *trailerChecker) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if terr := CheckNames(t.resp.Trailer); terr != nil {
			err = terr
		}
	}
	return n, err
}
