package mwkernel

import (
	"context"

	"mustardwheel.example/mwlib/mwcall"
)

// Exchange carries one call and its answer. Each front end implements it for
// its encoding; the kernel decides where the call goes.
type Exchange interface {
	// Forward sends c, with the budget c.Budget, to the node of t and returns
	// when the head of the answer has arrived. The code of an error shows
	// whether the call may have run. Forward may be called again if Resendable
	// is true, and concurrently if Held is true. The slower of two concurrent
	// calls of Forward may return after the exchange has ended; its answer is
	// then dropped.
	Forward(ctx context.Context, c *mwcall.Call, t mwcall.Target) (Answer, error)
	// Deliver hands c to the backend server announced by a.
	Deliver(ctx context.Context, c *mwcall.Call, a mwcall.Announcement) (Answer, error)
	// Replay returns the answer that is encoded in k.
	Replay(k mwcall.EncodedAnswer) (Answer, error)
	// Resendable reports whether the request can be sent again as a whole.
	Resendable() bool
	// Held reports whether the whole request is held in memory, so that it can
	// be sent any number of times, also concurrently.
	Held() bool
	// Refuse answers the caller with err. The head of the answer is h with the
	// code of err.
	Refuse(err error, h mwcall.Head)
}

// Answer is an answer whose head has arrived. Exactly one of Send and Drop must
// be called.
type Answer interface {
	// Head returns the head of the answer.
	Head() mwcall.Head
	// Whole reports whether the whole answer has been received, so that its
	// sender is free for other work.
	Whole() bool
	// Send sends the answer to the caller with h as its head. It returns nil
	// only if the whole answer was sent; otherwise the caller sees a truncated
	// answer.
	Send(h mwcall.Head) error
	// Encoded returns the answer encoded for later requests with the same key;
	// ok is false if the answer was not received completely or is too large.
	Encoded() (k mwcall.EncodedAnswer, ok bool)
	// Drop discards the answer without sending it to the caller.
	Drop()
}
