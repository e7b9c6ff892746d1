package mwhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwpanic"
)

// linkRequest is a request to be sent on a link.
type linkRequest struct {
	out *http.Request
	// id is the id that the answer repeats, and "" if answers have none.
	id mwid.RequestID
	// matches reports whether an answer with the given headers answers the request.
	matches func(http.Header) bool
	on1xx   func(int, textproto.MIMEHeader) error
}

// linkCall is one request on a link.
type linkCall struct {
	linkRequest
	k           *link
	panics      *mwpanic.Recorder
	writeResult chan error // result of a write concurrent with the read; nil if the write precedes the read
	stop        func() bool
}

// run sends r to addr and returns the head of its answer. It skips up to
// maxSkippedAnswers answers that are informational or don't match r. The code of its
// error shows whether a byte of the request may have reached addr.
func (l *links) run(ctx context.Context, r linkRequest, addr mwid.Address) (*http.Response, error) {
	s := l.setFor(addr)
	k, err := s.acquire(ctx, r.id)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	c := &linkCall{linkRequest: r, k: k, panics: l.panics}
	c.stop = context.AfterFunc(ctx, func() { k.conn.Close() })
	resp, err := c.roundTrip()
	if err == nil {
		return resp, nil
	}
	c.stop()
	k.conn.Close()
	code := mwcode.ConnectionLost
	if ctx.Err() != nil {
		code = mwcode.Silent
	}
	if timedOut(ctx) {
		s.closeSilent(start)
	}
	return nil, mwcode.New(code, mwcode.Wrap(err))
}

// timedOut reports whether ctx ended by its deadline. If the caller disconnected
// instead, that says nothing about the connections to the next hop.
func timedOut(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}

func (c *linkCall) roundTrip() (*http.Response, error) {
	if err := c.write(); err != nil {
		return nil, err
	}
	for range maxSkippedAnswers + 1 {
		resp, err := c.k.r.ReadResponse(c.out)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("mwhttp: unexpected status 101 Switching Protocols")
		case resp.StatusCode < http.StatusOK:
			if err := c.on1xx(resp.StatusCode, textproto.MIMEHeader(resp.Header)); err != nil {
				return nil, err
			}
		case c.matches(resp.Header):
			resp.Body = &linkBody{c: c, resp: resp, body: resp.Body}
			return resp, nil
		default:
			if err := discardStray(resp); err != nil {
				return nil, err
			}
		}
	}
	return nil, fmt.Errorf("mwhttp: more than %d answers precede that to the call", maxSkippedAnswers)
}

// discardStray reads an answer to another call to its end. It returns an error
// if no answer can follow, or if the body has maxStrayBody bytes or more.
func discardStray(resp *http.Response) error {
	if resp.Close {
		return errors.New("mwhttp: answer to another call closes the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody))
	if err == nil && n == maxStrayBody {
		err = errors.New("mwhttp: body of an answer to another call reaches 1 MiB")
	}
	return err
}

// write writes the request. A body that is longer than maxInlineBody, or whose
// length is unknown, is written while the answer is read, because a backend
// server may answer before it has read the body.
func (c *linkCall) write() error {
	if c.out.ContentLength >= 0 && c.out.ContentLength <= maxInlineBody {
		return c.send()
	}
	c.writeResult = make(chan error, 1)
	go func() { c.writeResult <- c.sendContained() }()
	return nil
}

// writerPool holds the buffered writers for requests.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, linkBufferSize) }}

// sendContained calls send and returns an error if send panics, as it does if the
// body's reader panics.
func (c *linkCall) sendContained() (err error) {
	defer c.panics.ContainAs("request body", &err)
	return c.send()
}

func (c *linkCall) send() error {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(c.k.conn)
	defer func() {
		w.Reset(nil)
		writerPool.Put(w)
	}()
	if err := c.out.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// requestWritten reports whether the whole request was written.
func (c *linkCall) requestWritten() bool {
	if c.writeResult == nil {
		return true
	}
	select {
	case err := <-c.writeResult:
		c.writeResult <- err
		return err == nil
	default:
		return false
	}
}

// linkBody is the body of an answer. At its end it releases the connection.
type linkBody struct {
	c    *linkCall
	resp *http.Response
	body io.ReadCloser
	err  error // result of all reads once the call has ended
}

// Read reads from the answer's body. After an error, it returns that error again: a
// reader that has ignored it must not find a complete body.
func (b *linkBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	if err != nil {
		b.finish(err, errors.Is(err, io.EOF) && b.c.requestWritten())
	}
	return n, err
}

// Close closes the connection if the answer was not read to its end.
func (b *linkBody) Close() error {
	b.finish(http.ErrBodyReadAfterClose, false)
	return nil
}

// finish ends the call with err as the result of later reads. It releases the
// connection if it is usable and the context of the call is not done, and closes it
// otherwise.
func (b *linkBody) finish(err error, usable bool) {
	if b.err != nil {
		return
	}
	b.err = err
	if b.c.stop() && usable {
		b.c.k.release(b.c.id, b.resp)
		return
	}
	b.c.k.conn.Close()
}
