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
	DeadlineTooShort:   {DeadlineTooShort, "DeadlineTooShort", "could not finish before its deadline; did not run"},
	DeadlinePassed:     {DeadlinePassed, "DeadlinePassed", "deadline passed while queued; did not run"},
	Draining:           {Draining, "Draining", "the target is leaving; did not run"},
	RetiredCeiling:     {RetiredCeiling, "RetiredCeiling", "the retired interface is at its ceiling; did not run"},
	NoTarget:           {NoTarget, "NoTarget", "no usable target of the service is known; did not run"},
	ClaimsAway:         {ClaimsAway, "ClaimsAway", "the claims table is away; did not run"},
	LaneFull:           {LaneFull, "LaneFull", "the lane for long work is full; did not run"},
	EarlyRefusal:       {EarlyRefusal, "EarlyRefusal", "refused at the entry below the target's threshold; did not run"},
	CallerRatio:        {CallerRatio, "CallerRatio", "the caller resubmits more than its ratio allows; did not run"},
	CallerGone:         {CallerGone, "CallerGone", "the caller left before the start; did not run"},
	ConnectFailed:      {ConnectFailed, "ConnectFailed", "no connection to the next hop; did not run"},
	TooDeep:            {TooDeep, "TooDeep", "more hops than allowed; did not run"},
	BadRequest:         {BadRequest, "BadRequest", "a header of the call is malformed; did not run"},
	NoBackend:          {NoBackend, "NoBackend", "no backend server is announced at the node; did not run"},
	NoKey:              {NoKey, "NoKey", "work that must not repeat came without a key; did not run"},
	NoConfiguration:    {NoConfiguration, "NoConfiguration", "the node has no configuration yet; did not run"},
	CallerLimit:        {CallerLimit, "CallerLimit", "the caller is over its own share; did not run"},
	NoRoute:            {NoRoute, "NoRoute", "no route of the configuration fits; did not run"},
	BodyTooLarge:       {BodyTooLarge, "BodyTooLarge", "the body is above the limit of callers; did not run"},
	BackendFull:        {BackendFull, "BackendFull", "the backend server itself refused; did not run"},
	HeaderTooLarge:     {HeaderTooLarge, "HeaderTooLarge", "the header is above the limit of callers; did not run"},
	ConnectionLost:     {ConnectionLost, "ConnectionLost", "the connection broke after the first byte; may have run"},
	Silent:             {Silent, "Silent", "no answer in time; may have run"},
	Held:               {Held, "Held", "another attempt of the key may be running; may have run"},
	AnswerCut:          {AnswerCut, "AnswerCut", "the answer broke before its end; may have run"},
	BackendUnavailable: {BackendUnavailable, "BackendUnavailable", "the backend server answered 503 without saying more; may have run"},
	ClaimUnknown:       {ClaimUnknown, "ClaimUnknown", "the claim's write has no known outcome; may have run"},
	KeyReused:          {KeyReused, "KeyReused", "the key belongs to another call"},
	KeyUnproven:        {KeyUnproven, "KeyUnproven", "this attempt did not run, an earlier one of the key may have; ask again with the key"},
	UnknownPlugin:      {UnknownPlugin, "UnknownPlugin", "no plug-in has the name"},
	BadSetting:         {BadSetting, "BadSetting", "a setting is outside its bounds"},
	BadDocument:        {BadDocument, "BadDocument", "a document can't be decoded"},
	UnknownField:       {UnknownField, "UnknownField", "a document has an unknown field"},
	DuplicateName:      {DuplicateName, "DuplicateName", "two documents have one kind and name"},
	UnknownSelector:    {UnknownSelector, "UnknownSelector", "a document refers to an unknown selector"},
	SelectorCycle:      {SelectorCycle, "SelectorCycle", "selectors refer to each other in a circle"},
	ConflictingBounds:  {ConflictingBounds, "ConflictingBounds", "a lower bound is above its upper bound"},
	BadValue:           {BadValue, "BadValue", "a field has a value outside its bounds"},
	BadCommand:         {BadCommand, "BadCommand", "the command line is wrong"},
	UnknownKind:        {UnknownKind, "UnknownKind", "the document's kind is not known"},
	Conflict:           {Conflict, "Conflict", "the row changed since it was read; nothing was written"},
	StoreAway:          {StoreAway, "StoreAway", "the table can't be reached; nothing was written"},
	StoreUnknown:       {StoreUnknown, "StoreUnknown", "the write may or may not have taken effect"},
	StoreSlow:          {StoreSlow, "StoreSlow", "the table's rate is used up; nothing was written"},
	NotFound:           {NotFound, "NotFound", "no such row or object"},
	Unreachable:        {Unreachable, "Unreachable", "the node can't be heard"},
	StaleRead:          {StaleRead, "StaleRead", "a source offered a version below the present one"},
	LeaseLost:          {LeaseLost, "LeaseLost", "the lease lapsed or was taken over"},
	Internal:           {Internal, "Internal", "a fault in the system itself"},
}

// Table returns the Entry of each Code, sorted by code.
func Table() []Entry {
	es := make([]Entry, 0, len(table))
	for _, c := range slices.Sorted(maps.Keys(table)) {
		es = append(es, table[c])
	}
	return es
}
