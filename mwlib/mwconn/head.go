package mwconn

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

// MaxHead is the maximum size in bytes of the head of an answer: its status
// line and its headers.
const MaxHead = 64 << 10

// ErrHeadTooLong is the error for an answer whose head has not ended after
// MaxHead bytes.
var ErrHeadTooLong = errors.New("mwconn: head of an answer has more than 64 KiB")

// AnswerReader reads the answers that arrive on one connection. net/http's
// ReadResponse has no limit on the size of a head, so a peer that sends bytes
// without end would fill the memory of this process.
type AnswerReader struct {
	*bufio.Reader
	src headSource
}

// NewAnswerReader returns an AnswerReader over r with a buffer of size bytes.
func NewAnswerReader(r io.Reader, size int) *AnswerReader {
	a := &AnswerReader{src: headSource{r: r}}
	a.Reader = bufio.NewReaderSize(&a.src, size)
	return a
}

// ReadResponse reads the head of the answer to req. It returns an error that
// wraps ErrHeadTooLong if the head is too long, or ErrMalformed if net/http accepts
// the answer although it is malformed. The body of the answer is read from the
// connection without a limit on its size.
func (a *AnswerReader) ReadResponse(req *http.Request) (*http.Response, error) {
	a.src.limit(MaxHead - a.Buffered())
	defer a.src.unlimit()
	resp, err := http.ReadResponse(a.Reader, req)
	if err != nil {
		return nil, err
	}
	if err := checkAnswer(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// headSource reads from r. While limited is set, it fails after left bytes.
type headSource struct {
	r       io.Reader
	limited bool
	left    int
}

func (s *headSource) limit(n int) { s.limited, s.left = true, n }

func (s *headSource) unlimit() { s.limited = false }

// Read reads from the underlying reader.
func (s *headSource) Read(p []byte) (int, error) {
	if !s.limited {
		return s.r.Read(p)
	}
	if s.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := s.r.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}
