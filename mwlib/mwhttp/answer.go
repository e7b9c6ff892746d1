package mwhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwunit"
)

// copyBufferSize is the size in bytes of the buffers for copying answers.
const copyBufferSize = 32 << 10

// maxStoredBody is the maximum size in bytes of the body of an answer that is
// stored for later requests with the same key.
const maxStoredBody = 256 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// answer is an HTTP answer whose head has been received.
type answer struct {
	e         *exchange
	resp      *http.Response
	head      mwcall.Head
	recording bool         // whether the body is being recorded
	record    bytes.Buffer // body so far, up to maxStoredBody
	complete  bool
	// buffered means that the whole body is in memory.
	buffered bool
}

var _ mwkernel.Answer = (*answer)(nil)

// Head returns the head of the answer.
func (a *answer) Head() mwcall.Head { return a.head }

// Drop closes the answer, and with it the connection if the body was not read
// to its end.
func (a *answer) Drop() { a.resp.Body.Close() }

// maxBufferedBody is the maximum size in bytes of a body that is read
// completely before its head is sent. If such an answer breaks off, the caller
// has received nothing of it, and the call can be retried elsewhere if that is
// safe.
const maxBufferedBody = 64 << 10

// bufferBody reads a body of up to maxBufferedBody into memory. This also
// prevents a slow caller from occupying the connection and the slot of the
// backend server. A body of unknown length is read only if bufferable is set. If
// there is no memory for the body, it is streamed.
func (a *answer) bufferBody(ctx context.Context, bufferable bool) error {
	if a.resp.ContentLength > maxBufferedBody || a.resp.ContentLength < 0 && !bufferable {
		return nil
	}
	body := a.resp.Body
	b, err := io.ReadAll(&chargedReader{io.LimitReader(body, maxBufferedBody+1), a.e.memory})
	if errors.Is(err, mwmemory.ErrFull) {
		a.resp.Body = &readCloser{io.MultiReader(bytes.NewReader(b), body), body}
		return nil
	}
	if err != nil {
		body.Close()
		code := mwcode.ConnectionLost
		if ctx.Err() != nil {
			code = mwcode.Silent
		}
		return mwcode.New(code, mwcode.Wrap(err))
	}
	if len(b) > maxBufferedBody {
		a.resp.Body = &readCloser{io.MultiReader(bytes.NewReader(b), body), body}
		return nil
	}
	body.Close()
	a.buffered = true
	a.resp.Body = io.NopCloser(bytes.NewReader(b))
	if a.e.r.Method != http.MethodHead && len(a.resp.Trailer) == 0 {
		a.resp.ContentLength = int64(len(b))
		a.resp.Header.Set("Content-Length", strconv.Itoa(len(b)))
	}
	return nil
}

// readCloser reads from Reader and closes the body that it reads from.
type readCloser struct {
	io.Reader
	closer io.Closer
}

// Close closes the body.
func (j *readCloser) Close() error { return j.closer.Close() }

// Whole reports whether the whole answer has been received from its sender.
func (a *answer) Whole() bool { return a.buffered }

// Send sends the answer to the caller. If that fails before the end of the
// answer, the caller's connection is aborted.
func (a *answer) Send(h mwcall.Head) error {
	defer a.resp.Body.Close()
	if !a.e.commit() {
		return mwcode.New(mwcode.Internal, mwcode.Expected("one answer to a call"))
	}
	a.writeHead(h)
	err := a.copyBody()
	if err != nil {
		a.e.abort = true
		return mwcode.New(mwcode.AnswerCut, mwcode.Wrap(err))
	}
	a.writeTrailers()
	a.complete = true
	return nil
}

func (a *answer) writeHead(h mwcall.Head) {
	removeHopHeaders(a.resp.Header)
	removeSystemHeaders(a.resp.Header)
	to := a.e.w.Header()
	maps.Copy(to, a.resp.Header)
	encodeHead(to, h, a.e.fromPeer)
	if len(a.resp.Trailer) > 0 {
		names := make([]string, 0, len(a.resp.Trailer))
		for k := range a.resp.Trailer {
			names = append(names, k)
		}
		to.Set("Trailer", strings.Join(names, ", "))
	}
	a.e.keepBody()
	a.e.w.WriteHeader(a.resp.StatusCode)
}

func (a *answer) writeTrailers() {
	maps.Copy(a.e.w.Header(), a.resp.Trailer)
}

// copyBody copies the body in pieces. It flushes an answer of unknown length
// after each piece, since there may be long gaps between them.
func (a *answer) copyBody() error {
	a.e.memory.Add(copyBufferSize)
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	rc := http.NewResponseController(a.e.w)
	flush := a.resp.ContentLength < 0
	for {
		n, err := a.resp.Body.Read(buf[:])
		if n > 0 {
			if werr := a.write(rc, buf[:n], flush); werr != nil {
				a.recordRest(buf[:])
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (a *answer) write(rc *http.ResponseController, p []byte, flush bool) error {
	if a.recording {
		a.recordPiece(p)
	}
	rc.SetWriteDeadline(time.Now().Add(a.e.f.idle))
	if _, err := a.e.w.Write(p); err != nil {
		return err
	}
	if flush {
		return rc.Flush()
	}
	return nil
}

// recordRest reads the rest of an answer that is to be stored, after its caller
// has disconnected.
func (a *answer) recordRest(buf []byte) {
	for a.recording {
		n, err := a.resp.Body.Read(buf)
		a.recordPiece(buf[:n])
		if err != nil {
			a.complete = errors.Is(err, io.EOF)
			return
		}
	}
}

func (a *answer) recordPiece(p []byte) {
	if a.record.Len()+len(p) > maxStoredBody || a.e.memory.Charge(memoryPerHeldByte*mwunit.Bytes(len(p))) != nil {
		a.recording = false
		a.record = bytes.Buffer{}
		return
	}
	a.record.Write(p)
}

// storedAnswer is the JSON encoding of a stored answer.
type storedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Encoded returns the encoded answer for repetitions of the call, if it is
// complete and within maxStoredBody.
func (a *answer) Encoded() (mwcall.EncodedAnswer, bool) {
	if !a.recording || !a.complete {
		return nil, false
	}
	h := a.resp.Header.Clone()
	removeHopHeaders(h)
	b, err := json.Marshal(storedAnswer{a.resp.StatusCode, h, a.record.Bytes()})
	return b, err == nil
}

// Replay returns the answer encoded in k.
func (e *exchange) Replay(k mwcall.EncodedAnswer) (mwkernel.Answer, error) {
	var v storedAnswer
	if err := json.Unmarshal(k, &v); err != nil {
		return nil, mwcode.New(mwcode.Internal, mwcode.Wrap(err))
	}
	if v.Header == nil {
		v.Header = make(http.Header)
	}
	resp := &http.Response{
		StatusCode: v.Status, Header: v.Header, ContentLength: int64(len(v.Body)),
		Body: io.NopCloser(bytes.NewReader(v.Body)),
	}
	return &answer{e: e, resp: resp}, nil
}
