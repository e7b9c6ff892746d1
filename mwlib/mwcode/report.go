package mwcode

import "errors"

// Report is the form of an error in messages. ReportOf leaves Outcome and Cause
// empty; the messages that have these fields fill them in.
type Report struct {
	Code     Code
	Name     string
	Outcome  string `json:",omitempty"`
	Field    string `json:",omitempty"`
	Expected string `json:",omitempty"`
	Cause    string `json:",omitempty"`
}

// ReportOf returns the Report of err.
func ReportOf(err error) Report {
	c := CodeOf(err)
	r := Report{Code: c, Name: c.String()}
	var e *Error
	if errors.As(err, &e) {
		r.Field, r.Expected = e.Field, e.Expected
	}
	return r
}
