package mwhttp

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconn"
	"mustardwheel.example/mwlib/mwid"
)

// trip is one request to the next hop through an http.Transport. It records
// whether any byte of the request may have been sent.
type trip struct {
	mu         sync.Mutex
	conn       *countedConn
	startCount int64 // bytes written to conn before the request
	uncounted  bool  // whether conn does not count its bytes
}

// run sends the request through t and returns the head of the answer. The code
// of its error shows whether a byte of the request may have reached addr.
func (p *pool) run(ctx context.Context, t mwconn.AnswerTransport, out *http.Request, addr mwid.Address, on1xx func(int, textproto.MIMEHeader) error) (*http.Response, error) {
	var tr trip
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: tr.gotConn,
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
			if err := mwconn.CheckNames(http.Header(h)); err != nil {
				return err
			}
			return on1xx(status, h)
		},
	})
	resp, err := t.RoundTrip(out.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	code := tr.code(ctx)
	if code == mwcode.Silent && timedOut(ctx) {
		p.closeIdle(addr)
	}
	return nil, mwcode.New(code, mwcode.Wrap(err))
}

func (t *trip) gotConn(i httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := i.Conn.(*countedConn)
	if !ok {
		t.uncounted = true
		return
	}
	t.conn, t.startCount = c, c.written.Load()
}

// code returns the error code of a failed request.
func (t *trip) code(ctx context.Context) mwcode.Code {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.uncounted || t.conn != nil && t.conn.written.Load() > t.startCount
	switch {
	case !sent && timedOut(ctx):
		return mwcode.DeadlinePassed
	case !sent && ctx.Err() != nil:
		return mwcode.CallerGone
	case !sent:
		return mwcode.ConnectFailed
	case ctx.Err() != nil:
		return mwcode.Silent
	}
	return mwcode.ConnectionLost
}
