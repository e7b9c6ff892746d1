package mwmember

import (
	"context"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwkernel"
	"mustardwheel.example/mwlib/mwpanic"
)

// Transport carries the messages of the membership. Each call returns by the
// deadline of its context.
type Transport interface {
	// Serve registers h for messages from other nodes.
	Serve(h Handler) error
	// Ping sends m and returns the answer.
	Ping(ctx context.Context, to mwid.Address, m Message) (Message, error)
	// PingVia asks the node at via to ping another one.
	PingVia(ctx context.Context, via mwid.Address, r ViaRequest) (ViaReply, error)
	// Exchange makes one step of an exchange.
	Exchange(ctx context.Context, to mwid.Address, r ExchangeRequest) (ExchangeReply, error)
}

// Handler answers messages from other nodes.
type Handler interface {
	HandlePing(m Message) Message
	HandlePingVia(ctx context.Context, r ViaRequest) ViaReply
	HandleExchange(r ExchangeRequest) ExchangeReply
}

// rpcName is the name under which the methods are registered.
const rpcName = "Member"

// rpcTransport is a Transport over mwkernel.Peers.
type rpcTransport struct {
	peers  mwkernel.Peers
	panics *mwpanic.Recorder
}

// NewTransport returns a Transport over p. Panics of the Handler are recorded in
// r.
func NewTransport(p mwkernel.Peers, r *mwpanic.Recorder) Transport { return rpcTransport{p, r} }

// Serve registers h.
func (t rpcTransport) Serve(h Handler) error {
	return t.peers.Handle(rpcName, &rpcHandler{h, t.panics})
}

// Ping calls Member.Ping.
func (t rpcTransport) Ping(ctx context.Context, to mwid.Address, m Message) (Message, error) {
	var res Message
	err := t.peers.Call(ctx, to, rpcName+".Ping", &m, &res)
	return res, err
}

// PingVia calls Member.PingVia.
func (t rpcTransport) PingVia(ctx context.Context, via mwid.Address, r ViaRequest) (ViaReply, error) {
	var res ViaReply
	err := t.peers.Call(ctx, via, rpcName+".PingVia", &r, &res)
	return res, err
}

// Exchange calls Member.Exchange.
func (t rpcTransport) Exchange(ctx context.Context, to mwid.Address, r ExchangeRequest) (ExchangeReply, error) {
	var res ExchangeReply
	err := t.peers.Call(ctx, to, rpcName+".Exchange", &r, &res)
	return res, err
}

// rpcHandler has the methods that net/rpc serves. net/rpc runs each of them in a
// goroutine of its own and does not recover from panics.
type rpcHandler struct {
	h      Handler
	panics *mwpanic.Recorder
}

// Ping answers a ping.
func (r *rpcHandler) Ping(req *Message, res *Message) (err error) {
	defer r.panics.ContainAs("Member.Ping", &err)
	*res = r.h.HandlePing(*req)
	return nil
}

// serveTimeout limits the time that PingVia takes on behalf of another node.
const serveTimeout = time.Second

// PingVia pings on behalf of another node.
func (r *rpcHandler) PingVia(req *ViaRequest, res *ViaReply) (err error) {
	defer r.panics.ContainAs("Member.PingVia", &err)
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	*res = r.h.HandlePingVia(ctx, *req)
	return nil
}

// Exchange answers one step of an exchange.
func (r *rpcHandler) Exchange(req *ExchangeRequest, res *ExchangeReply) (err error) {
	defer r.panics.ContainAs("Member.Exchange", &err)
	*res = r.h.HandleExchange(*req)
	return nil
}
