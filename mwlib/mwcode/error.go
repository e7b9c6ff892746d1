package mwcode

import (
	"errors"
	"fmt"
	"strings"

	"mustardwheel.example/mwlib/mwoption"
)

// Error is an error with a Code. File, Field and Expected are empty if they do
// not apply.
type Error struct {
	Code     Code
	File     string
	Field    string
	Expected string
	Err      error
}

// New returns an *Error with code c.
func New(c Code, opts ...mwoption.Option[Error]) *Error {
	e := &Error{Code: c}
	mwoption.Apply(e, opts...)
	return e
}

// File sets the file that contains the error.
func File(f string) mwoption.Option[Error] { return func(e *Error) { e.File = f } }

// Field sets the field that contains the error.
func Field(f string) mwoption.Option[Error] { return func(e *Error) { e.Field = f } }

// Expected sets the description of a valid value.
func Expected(s string) mwoption.Option[Error] { return func(e *Error) { e.Expected = s } }

// Wrap sets the error that caused this one.
func Wrap(err error) mwoption.Option[Error] { return func(e *Error) { e.Err = err } }

// Error returns "Name (number): file: field: expected ...: cause".
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v (%d)", e.Code, int(e.Code))
	if e.File != "" {
		fmt.Fprintf(&b, ": %s", e.File)
	}
	if e.Field != "" {
		fmt.Fprintf(&b, ": %s", e.Field)
	}
	if e.Expected != "" {
		fmt.Fprintf(&b, ": expected %s", e.Expected)
	}
	if e.Err != nil {
		fmt.Fprintf(&b, ": %v", e.Err)
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether target is an *Error of the same Code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// CodeOf returns the Code of err: OK for nil, and Internal if err has none.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}
