package mwoperator

import (
	"errors"
	"fmt"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
)

// ConflictError reports that a change was not made because a document has
// changed since the operator read it, or because the operation id belongs to
// another change. Its code is mwcode.Conflict.
type ConflictError struct {
	Kind     mwconfig.Kind
	Name     mwconfig.DocumentName
	Expected mwid.Revision
	Found    mwid.Revision
	// Present is the current document, or nil if there is none.
	Present *mwconfig.Document
	// Operation is set if the id is already used by the change to Version.
	Operation mwid.OperationID
	Version   mwid.Version
}

// Error returns the text of the underlying *mwcode.Error.
func (e *ConflictError) Error() string { return e.Unwrap().Error() }

// Unwrap returns an *mwcode.Error.
func (e *ConflictError) Unwrap() error {
	if e.Operation != "" {
		return mwcode.New(mwcode.Conflict, mwcode.Field("Operation"),
			mwcode.Expected(fmt.Sprintf("an unused id, but %s already made version %d with other edits", e.Operation, e.Version)))
	}
	return mwcode.New(mwcode.Conflict, mwcode.Field(string(e.Kind)+"/"+string(e.Name)),
		mwcode.Expected(fmt.Sprintf("revision %d, found %d", e.Expected, e.Found)))
}

// AsConflict returns the *ConflictError that err is or wraps.
func AsConflict(err error) (*ConflictError, bool) {
	var e *ConflictError
	ok := errors.As(err, &e)
	return e, ok
}
