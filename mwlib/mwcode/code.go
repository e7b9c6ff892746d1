// Package mwcode defines the numbered result codes of the system and the error
// type that carries them. docs/CODES.md has the same table for operators.
package mwcode

import "strconv"

// Code is a numbered result code. Its thousands digit gives the kind:
//
//	1xxx  refused, and known not to have run
//	2xxx  the outcome is not known
//	3xxx  bad input: settings, documents, command lines
//	4xxx  control: store, configuration, membership
type Code int

// OK means success.
const OK Code = 0

// Codes of refusals: the call did not run.
const (
	// Overloaded means that the target's node shed the call.
	Overloaded Code = 1001
	// DeadlineTooShort means that the call could not finish before its
	// deadline.
	DeadlineTooShort Code = 1002
	// DeadlinePassed means that the call's deadline passed while it was queued
	// or before any byte of it was sent.
	DeadlinePassed Code = 1003
	// Draining means that the target takes no new work.
	Draining Code = 1004
	// RetiredCeiling means that the retired interface has as many calls in
	// flight as its configured ceiling allows.
	RetiredCeiling Code = 1005
	// NoTarget means that no usable target of the service is known.
	NoTarget Code = 1006
	// ClaimsAway means that at-most-once work cannot be claimed at present.
	ClaimsAway Code = 1007
	// LaneFull means that the lane for long work has no free slot and its queue
	// is full.
	LaneFull Code = 1008
	// EarlyRefusal means that the node that routed the call refused it without
	// sending it. Either every usable target would refuse a call of its priority,
	// or no target is expected to answer before its deadline.
	EarlyRefusal Code = 1009
	// CallerRatio means that too large a fraction of the caller's calls are
	// resubmissions.
	CallerRatio Code = 1010
	// CallerGone means that the caller left before the call started.
	CallerGone Code = 1011
	// ConnectFailed means that no connection to the next hop could be made.
	ConnectFailed Code = 1012
	// TooDeep means that the call has more hops than allowed.
	TooDeep Code = 1013
	// BadRequest means that a header of the call is malformed.
	BadRequest Code = 1014
	// NoBackend means that no backend server is announced at the node.
	NoBackend Code = 1015
	// NoKey means that work that is not repeatable arrived without a key.
	NoKey Code = 1016
	// NoConfiguration means that the node has no configuration yet, without which
	// it refuses work that is not repeatable and calls that name no service.
	NoConfiguration Code = 1017
	// CallerLimit means that the caller exceeds its own share.
	CallerLimit Code = 1018
	// NoRoute means that no route of the configuration matches the call.
	NoRoute Code = 1019
	// BodyTooLarge means that the call's body is above the limit.
	BodyTooLarge Code = 1020
	// HeaderTooLarge means that the call's header is above the limit.
	HeaderTooLarge Code = 1021
	// BackendFull means that the backend server itself reported that it did not
	// run the call.
	BackendFull Code = 1022
	// MemoryFull means that the node holds too much for other requests.
	MemoryFull Code = 1023
)

// Codes of unknown outcomes: the call may have run.
const (
	// ConnectionLost means that the connection broke after a byte of the call
	// was sent.
	ConnectionLost Code = 2001
	// Silent means that no answer arrived in time.
	Silent Code = 2002
	// Held means that another attempt of the same key may be running.
	Held Code = 2003
	// AnswerCut means that an answer broke off before its end.
	AnswerCut Code = 2004
	// BackendUnavailable means that a backend server answered 503 without
	// saying whether it ran the call.
	BackendUnavailable Code = 2005
	// ClaimUnknown means that the outcome of writing a claim is unknown.
	ClaimUnknown Code = 2006
	// KeyReused means that the key was used for another call before.
	KeyReused Code = 2007
	// KeyUnproven means that this attempt did not run, while an earlier one
	// of the same key may have.
	KeyUnproven Code = 2008
)

// Codes of bad input.
const (
	// UnknownPlugin means that no plug-in has the given name.
	UnknownPlugin Code = 3001
	// BadSetting means that a setting is outside its bounds.
	BadSetting Code = 3002
	// BadDocument means that a document cannot be decoded.
	BadDocument Code = 3003
	// UnknownField means that a document has an unknown field.
	UnknownField Code = 3004
	// DuplicateName means that two documents have the same kind and name.
	DuplicateName Code = 3005
	// UnknownSelector means that a document refers to an unknown selector.
	UnknownSelector Code = 3006
	// SelectorCycle means that selectors refer to each other in a cycle.
	SelectorCycle Code = 3007
	// ConflictingBounds means that a lower bound is above its upper bound.
	ConflictingBounds Code = 3008
	// BadValue means that a field has a value outside its bounds.
	BadValue Code = 3009
	// BadCommand means that a command line is invalid.
	BadCommand Code = 3010
	// UnknownKind means that a document has an unknown kind.
	UnknownKind Code = 3011
)

// Control codes.
const (
	// Conflict means that a row changed since it was read.
	Conflict Code = 4001
	// StoreAway means that the store is unavailable; nothing was written.
	StoreAway Code = 4002
	// StoreUnknown means that a write may or may not have taken effect.
	StoreUnknown Code = 4003
	// StoreSlow means that the rate limit for requests to the store is used up;
	// nothing was written.
	StoreSlow Code = 4004
	// NotFound means that the row or object does not exist.
	NotFound Code = 4005
	// Unreachable means that a node cannot be reached.
	Unreachable Code = 4006
	// StaleRead means that a source offered a version below the present one.
	StaleRead Code = 4007
	// LeaseLost means that a lease expired or was taken over.
	LeaseLost Code = 4008
	// Internal means that the system itself has a fault.
	Internal Code = 4010
	// Unconfirmed means that an announcement may be outdated, and that the health of
	// the backend server can't be checked yet.
	Unconfirmed Code = 4011
)

// First codes of the kinds; each is also the upper bound of the kind before it.
const (
	firstRefusal Code = 1000
	firstUnknown Code = 2000
	firstInput   Code = 3000
)

// NotRun reports whether c means that the call did not run.
func (c Code) NotRun() bool { return c >= firstRefusal && c < firstUnknown }

// OutcomeUnknown reports whether c means that the call may have run.
func (c Code) OutcomeUnknown() bool { return c >= firstUnknown && c < firstInput }

// String returns the name of c, or its number if c has no name.
func (c Code) String() string {
	if e, ok := table[c]; ok {
		return e.Name
	}
	return strconv.Itoa(int(c))
}
