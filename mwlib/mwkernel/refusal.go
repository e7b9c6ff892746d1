package mwkernel

import (
	"errors"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwcode"
)

// Refusal is the error of a call for which a node returned a result code in
// place of a backend server's answer. Head holds what the node returned with the
// code, such as the unused budget.
type Refusal struct {
	Head mwcall.Head
	Err  *mwcode.Error
}

// Error returns the text of r.Err.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns r.Err.
func (r *Refusal) Unwrap() error { return r.Err }

// Refuse returns a Refusal with code c and head h.
func Refuse(c mwcode.Code, h mwcall.Head) error { return refuse(c, h) }

// refuse returns a Refusal with code c and head h.
func refuse(c mwcode.Code, h mwcall.Head) error {
	h.Code = c
	return &Refusal{Head: h, Err: mwcode.New(c)}
}

// RefusalHead returns the head of the Refusal that err is or wraps.
func RefusalHead(err error) (mwcall.Head, bool) {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Head, true
	}
	return mwcall.Head{}, false
}
