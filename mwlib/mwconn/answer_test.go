package mwconn_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwconn"
)

// nameBytes are all bytes of which the name of a field may consist (RFC 9110, section
// 5.6.2).
const nameBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// An answer is refused if the name of a field has a byte that no name may have. A
// colon ends the name, and a line feed the line.
func TestBytesOfNames(t *testing.T) {
	c := qt.New(t)
	for b := range 256 {
		if b == '\n' {
			continue
		}
		for _, line := range []string{"A%sB: 1", "A%s: 1", "%sA: 1"} {
			line = fmt.Sprintf(line, string([]byte{byte(b)}))
			answer := "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n"
			_, err := mwconn.NewAnswerReader(strings.NewReader(answer), 512).ReadResponse(nil)
			name, _, _ := strings.Cut(line, ":")
			ok := name != "" && strings.Trim(name, nameBytes) == ""
			c.Check(err == nil, qt.Equals, ok, qt.Commentf("%q: %v", line, err))
		}
	}
}

// A trailer that is announced and not sent is not a field.
func TestAnnouncedTrailer(t *testing.T) {
	c := qt.New(t)
	const answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X Y\r\n\r\n0\r\n\r\n"
	resp, err := mwconn.NewAnswerReader(strings.NewReader(answer), 512).ReadResponse(nil)
	c.Assert(err, qt.IsNil)
	_, err = resp.Body.Read(make([]byte, 1))
	c.Check(err, qt.ErrorIs, io.EOF)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
}
