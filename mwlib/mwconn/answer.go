package mwconn

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed is the error for an answer that net/http accepts although it is
// malformed.
var ErrMalformed = errors.New("mwconn: malformed answer")

// AnswerTransport is an http.Transport that returns an error that wraps ErrMalformed
// for a malformed answer. It does not check informational answers.
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

// checkAnswer returns an error that wraps ErrMalformed if resp is malformed.
func checkAnswer(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return fmt.Errorf("%w: status %q", ErrMalformed, resp.Status)
	}
	return nil
}
