// Package mwcode holds the numbered result codes of the system and the error
// type that carries them. docs/CODES.md has the same table for operators.
package mwcode

import "strconv"

// Code is a numbered result code. Its thousands tell the kind:
//
//	1xxx  refused, and known not to have run
//	2xxx  the outcome is not known
//	3xxx  bad input: settings, documents, command lines
//	4xxx  control: table, configuration, membership
type Code int

// OK is the code of success.
const OK Code = 0

// Codes of refusals: the call did not run.
const (
	// Overloaded tells that the target's node shed the call.
	Overloaded Code = 1001
	// DeadlineTooShort tells that the call could not finish in its time.
	DeadlineTooShort Code = 1002
	// DeadlinePassed tells that the call's time ran out while it waited.
	DeadlinePassed Code = 1003
	// Draining tells that the target takes no new work.
	Draining Code = 1004
	// RetiredCeiling tells that the retired interface is at its ceiling.
	RetiredCeiling Code = 1005
	// NoTarget tells that no target of the service is known and usable.
	NoTarget Code = 1006
	// ClaimsAway tells that at-most-once work can't be claimed now.
	ClaimsAway Code = 1007
	// LaneFull tells that the lane for long work has no slot and no room.
	LaneFull Code = 1008
	// EarlyRefusal tells that the entry knows the target's threshold to be
	// above the call's priority.
	EarlyRefusal Code = 1009
	// CallerRatio tells that the caller's own resubmissions are over its
	// ratio.
	CallerRatio Code = 1010
	// CallerGone tells that the caller left before the call started.
	CallerGone Code = 1011
	// ConnectFailed tells that no connection to the next hop could be made.
	ConnectFailed Code = 1012
	// TooDeep tells that the call has more hops than allowed.
	TooDeep Code = 1013
	// BadRequest tells that a header of the call is malformed.
	BadRequest Code = 1014
	// NoBackend tells that no backend server is announced at the node.
	NoBackend Code = 1015
	// NoKey tells that work that must not repeat came without a key.
	NoKey Code = 1016
	// NoConfiguration tells that the node has no configuration yet and so
	// refuses work that must not repeat.
	NoConfiguration Code = 1017
	// CallerLimit tells that the caller is over its own share.
	CallerLimit Code = 1018
	// NoRoute tells that no route of the configuration fits the call.
	NoRoute Code = 1019
	// BodyTooLarge tells that the call's body is above the limit.
	BodyTooLarge Code = 1020
	// HeaderTooLarge tells that the call's header is above the limit.
	HeaderTooLarge Code = 1021
	// BackendFull tells that the backend server itself said that it did not
	// run the call.
	BackendFull Code = 1022
)

// Codes of unknown outcomes: the call may have run.
const (
	// ConnectionLost tells that the connection broke after the first byte.
	ConnectionLost Code = 2001
	// Silent tells that no answer came in time.
	Silent Code = 2002
	// Held tells that another attempt of the same key may be running.
	Held Code = 2003
	// AnswerCut tells that an answer broke before its end.
	AnswerCut Code = 2004
	// BackendUnavailable tells that a backend server answered 503 without
	// saying whether it ran the call.
	BackendUnavailable Code = 2005
	// ClaimUnknown tells that a claim's write has no known outcome.
	ClaimUnknown Code = 2006
	// KeyReused tells that the key was used for another call before.
	KeyReused Code = 2007
	// KeyUnproven tells that this attempt did not run, while an earlier one
	// of the same key may have.
	KeyUnproven Code = 2008
)

// Codes of bad input.
const (
	// UnknownPlugin tells that no plug-in has the name.
	UnknownPlugin Code = 3001
	// BadSetting tells that a setting is outside its bounds.
	BadSetting Code = 3002
	// BadDocument tells that a document can't be decoded.
	BadDocument Code = 3003
	// UnknownField tells that a document has a field that is not known.
	UnknownField Code = 3004
	// DuplicateName tells that two documents have one kind and name.
	DuplicateName Code = 3005
	// UnknownSelector tells that a document refers to no selector.
	UnknownSelector Code = 3006
	// SelectorCycle tells that selectors refer to each other in a circle.
	SelectorCycle Code = 3007
	// ConflictingBounds tells that a lower bound is above its upper bound.
	ConflictingBounds Code = 3008
	// BadValue tells that a field has a value outside its bounds.
	BadValue Code = 3009
	// BadCommand tells that a command line is wrong.
	BadCommand Code = 3010
	// UnknownKind tells that a document's kind is not known.
	UnknownKind Code = 3011
)

// Codes of control.
const (
	// Conflict tells that a row changed since it was read.
	Conflict Code = 4001
	// StoreAway tells that the table can't be reached; nothing was written.
	StoreAway Code = 4002
	// StoreUnknown tells that a write may or may not have taken effect.
	StoreUnknown Code = 4003
	// StoreSlow tells that the table's rate is used up; nothing was written.
	StoreSlow Code = 4004
	// NotFound tells that the row or object is not there.
	NotFound Code = 4005
	// Unreachable tells that a node can't be heard.
	Unreachable Code = 4006
	// StaleRead tells that a source offered a version below the present.
	StaleRead Code = 4007
	// LeaseLost tells that a lease lapsed or was taken over.
	LeaseLost Code = 4008
	// Internal tells of a fault in the system itself.
	Internal Code = 4010
)

// firstUnknown and firstInput bound the kinds of codes.
const (
	firstRefusal Code = 1000
	firstUnknown Code = 2000
	firstInput   Code = 3000
)

// NotRun tells whether c says that the call did not run.
func (c Code) NotRun() bool { return c >= firstRefusal && c < firstUnknown }

// OutcomeUnknown tells whether c says that the call may have run.
func (c Code) OutcomeUnknown() bool { return c >= firstUnknown && c < firstInput }

// String returns the name of c, or its number where c has none.
func (c Code) String() string {
	if e, ok := table[c]; ok {
		return e.Name
	}
	return strconv.Itoa(int(c))
}
