package mwoperator

import (
	"errors"
	"fmt"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
)

// ConflictError tells that a change was not made because a document changed
// since the operator saw it, or because the operation id belongs to another
// change. Its code is mwcode.Conflict.
type ConflictError struct {
	Kind     mwconfig.Kind
	Name     mwconfig.DocumentName
	Expected mwid.Revision
	Found    mwid.Revision
	// Present is the document as it is now, or nil.
	Present *mwconfig.Document
	// Operation is set where the id belongs to the change to Version.
	Operation mwid.OperationID
	Version   mwid.Version
}

// Error returns the text of the underlying *mwcode.Error.
func (e *ConflictError) Error() string { return e.Unwrap().Error() }

// Unwrap returns an *mwcode.Error.
func (e *ConflictError) Unwrap() error {
	if e.Operation != "" {
		return mwcode.New(mwcode.Conflict, mwcode.Field("Operation"),
			mwcode.Expected(fmt.Sprintf("an unused id, but %s made version %d of other edits", e.Operation, e.Version)))
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
