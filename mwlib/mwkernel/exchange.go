package mwkernel

import (
	"context"

	"mustardwheel.example/mwlib/mwcall"
)

// Exchange carries one call. A front end implements it for its encoding; the
// kernel tells it where the call goes.
type Exchange interface {
	// Forward sends c, with the budget c.Budget, to the node of t and
	// returns when the head of its answer is there. An error has a code that
	// tells whether the call may have run. Forward may be called again where
	// Resendable is true, and while another one runs where Held is. The loser
	// of two may return, and its answer be dropped, after the call is over.
	Forward(ctx context.Context, c *mwcall.Call, t mwcall.Target) (Answer, error)
	// Deliver hands c to the backend server announced by a.
	Deliver(ctx context.Context, c *mwcall.Call, a mwcall.Announcement) (Answer, error)
	// Replay returns the answer kept in k.
	Replay(k mwcall.Kept) (Answer, error)
	// Resendable tells whether the request is still whole.
	Resendable() bool
	// Held tells whether the request is kept whole, however often it is sent.
	Held() bool
	// Refuse answers the caller with err, whose code goes along, and h.
	Refuse(err error, h mwcall.Head)
}

// Answer is an answer whose head is there. Exactly one of Send and Drop must
// be called.
type Answer interface {
	// Head returns the head of the answer.
	Head() mwcall.Head
	// Whole tells whether nothing of the answer is left at its sender, so
	// that the sender is free for other work.
	Whole() bool
	// Send sends the answer to the caller with h as its head. It returns
	// nil only where the whole answer went out; else the caller sees a
	// broken answer.
	Send(h mwcall.Head) error
	// Kept returns the answer for later asks; ok is false where it was not
	// sent whole or is too large, and then Kept has what can be said of it.
	Kept() (k mwcall.Kept, ok bool)
	// Drop ends the exchange without an answer to the caller.
	Drop()
}
