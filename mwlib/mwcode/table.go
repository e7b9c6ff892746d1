package mwcode

import (
	"maps"
	"slices"
)

// Entry describes one Code to operators.
type Entry struct {
	Code    Code
	Name    string
	Meaning string
}

// table has an Entry for each Code.
var table = map[Code]Entry{
	OK:                 {OK, "OK", "success"},
	Overloaded:         {Overloaded, "Overloaded", "shed by the target's node; did not run"},
	DeadlineTooShort:   {DeadlineTooShort, "DeadlineTooShort", "the call could not finish before its deadline; did not run"},
	DeadlinePassed:     {DeadlinePassed, "DeadlinePassed", "the deadline passed while the call was queued; did not run"},
	Draining:           {Draining, "Draining", "the target is draining; did not run"},
	RetiredCeiling:     {RetiredCeiling, "RetiredCeiling", "the retired interface is at its ceiling; did not run"},
	NoTarget:           {NoTarget, "NoTarget", "no usable target of the service is known; did not run"},
	ClaimsAway:         {ClaimsAway, "ClaimsAway", "the claims table is unavailable; did not run"},
	LaneFull:           {LaneFull, "LaneFull", "the lane for long work is full; did not run"},
	EarlyRefusal:       {EarlyRefusal, "EarlyRefusal", "refused at the entry below the target's threshold; did not run"},
	CallerRatio:        {CallerRatio, "CallerRatio", "the caller's resubmissions exceed its ratio; did not run"},
	CallerGone:         {CallerGone, "CallerGone", "the caller disconnected before the call started; did not run"},
	ConnectFailed:      {ConnectFailed, "ConnectFailed", "no connection to the next hop; did not run"},
	TooDeep:            {TooDeep, "TooDeep", "more hops than allowed; did not run"},
	BadRequest:         {BadRequest, "BadRequest", "a header of the call is malformed; did not run"},
	NoBackend:          {NoBackend, "NoBackend", "no backend server is announced at the node; did not run"},
	NoKey:              {NoKey, "NoKey", "work that must not repeat came without a key; did not run"},
	NoConfiguration:    {NoConfiguration, "NoConfiguration", "the node has no configuration yet; did not run"},
	CallerLimit:        {CallerLimit, "CallerLimit", "the caller exceeds its own share; did not run"},
	NoRoute:            {NoRoute, "NoRoute", "no route of the configuration matches; did not run"},
	BodyTooLarge:       {BodyTooLarge, "BodyTooLarge", "the body exceeds the limit for callers; did not run"},
	BackendFull:        {BackendFull, "BackendFull", "the backend server itself refused; did not run"},
	MemoryFull:         {MemoryFull, "MemoryFull", "the node holds too much for other requests; did not run"},
	HeaderTooLarge:     {HeaderTooLarge, "HeaderTooLarge", "the header exceeds the limit for callers; did not run"},
	ConnectionLost:     {ConnectionLost, "ConnectionLost", "the connection broke after the first byte; may have run"},
	Silent:             {Silent, "Silent", "no answer in time; may have run"},
	Held:               {Held, "Held", "another attempt with the same key may be running; may have run"},
	AnswerCut:          {AnswerCut, "AnswerCut", "the answer was cut off before its end; may have run"},
	BackendUnavailable: {BackendUnavailable, "BackendUnavailable", "the backend server answered 503 without further detail; may have run"},
	ClaimUnknown:       {ClaimUnknown, "ClaimUnknown", "the outcome of the claim's write is unknown; may have run"},
	KeyReused:          {KeyReused, "KeyReused", "the key belongs to another call"},
	KeyUnproven:        {KeyUnproven, "KeyUnproven", "this attempt did not run, but an earlier one with the same key may have; send it again with that key"},
	UnknownPlugin:      {UnknownPlugin, "UnknownPlugin", "no plug-in has this name"},
	BadSetting:         {BadSetting, "BadSetting", "a setting is outside its bounds"},
	BadDocument:        {BadDocument, "BadDocument", "a document cannot be decoded"},
	UnknownField:       {UnknownField, "UnknownField", "a document has an unknown field"},
	DuplicateName:      {DuplicateName, "DuplicateName", "two documents have the same kind and name"},
	UnknownSelector:    {UnknownSelector, "UnknownSelector", "a document refers to an unknown selector"},
	SelectorCycle:      {SelectorCycle, "SelectorCycle", "selectors refer to each other in a cycle"},
	ConflictingBounds:  {ConflictingBounds, "ConflictingBounds", "a lower bound is above its upper bound"},
	BadValue:           {BadValue, "BadValue", "a field value is outside its bounds"},
	BadCommand:         {BadCommand, "BadCommand", "the command line is invalid"},
	UnknownKind:        {UnknownKind, "UnknownKind", "the document's kind is unknown"},
	Conflict:           {Conflict, "Conflict", "the row changed since it was read; nothing was written"},
	StoreAway:          {StoreAway, "StoreAway", "the table is unreachable; nothing was written"},
	StoreUnknown:       {StoreUnknown, "StoreUnknown", "the write may or may not have taken effect"},
	StoreSlow:          {StoreSlow, "StoreSlow", "the table's rate limit is used up; nothing was written"},
	NotFound:           {NotFound, "NotFound", "no such row or object"},
	Unreachable:        {Unreachable, "Unreachable", "the node is unreachable"},
	StaleRead:          {StaleRead, "StaleRead", "a source offered a version below the current one"},
	LeaseLost:          {LeaseLost, "LeaseLost", "the lease expired or was taken over"},
	Internal:           {Internal, "Internal", "internal error"},
	Unconfirmed:        {Unconfirmed, "Unconfirmed", "the backend server's health can't be checked yet; it should announce itself again"},
}

// Table returns the Entry of each Code, sorted by code.
func Table() []Entry {
	es := make([]Entry, 0, len(table))
	for _, c := range slices.Sorted(maps.Keys(table)) {
		es = append(es, table[c])
	}
	return es
}
