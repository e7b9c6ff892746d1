package mwconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"mustardwheel.example/mwlib/mwcode"
)

// Decode reads the sequence of JSON documents in r. Errors name file as the
// source. Decode reports every document with an invalid kind, name or spec,
// joined by errors.Join. It stops at the first JSON value that can't be decoded
// as a Document, for example because of a syntax error or an unknown field.
func Decode(file string, r io.Reader) ([]Document, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var docs []Document
	var errs []error
	for {
		var d Document
		err := dec.Decode(&d)
		if errors.Is(err, io.EOF) {
			return docs, errors.Join(errs...)
		}
		if err != nil {
			errs = append(errs, jsonError(file, "", err))
			return docs, errors.Join(errs...)
		}
		if _, err := d.decodeSpec(file); err != nil {
			errs = append(errs, err)
			continue
		}
		docs = append(docs, d)
	}
}

// spec is the decoded Spec of a Document: a pointer to the struct type of its
// Kind.
type spec interface{ check() []problem }

// newSpec returns an empty spec of kind k, or nil if k is unknown.
func newSpec(k Kind) spec {
	switch k {
	case KindCallerLabel:
		return &CallerLabel{}
	case KindRequestLabel:
		return &RequestLabel{}
	case KindServerLabel:
		return &ServerLabel{}
	case KindSelector:
		return &Selector{}
	case KindPolicy:
		return &Policy{}
	case KindRoute:
		return &Route{}
	case KindService:
		return &Service{}
	case KindCallerLimits:
		return &CallerLimits{}
	}
	return nil
}

// decodeSpec decodes the Spec of d and checks it independently of other
// documents.
func (d Document) decodeSpec(file string) (spec, error) {
	s := newSpec(d.Kind)
	if s == nil {
		return nil, mwcode.New(mwcode.UnknownKind, mwcode.File(file), mwcode.Field("Kind"),
			mwcode.Expected("one of "+kindList()+", not "+string(d.Kind)))
	}
	if d.Name == "" {
		return nil, mwcode.New(mwcode.BadValue, mwcode.File(file), mwcode.Field("Name"),
			mwcode.Expected("a name"))
	}
	dec := json.NewDecoder(bytes.NewReader(d.Spec))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, jsonError(file, d.path(""), err)
	}
	var errs []error
	for _, p := range s.check() {
		errs = append(errs, mwcode.New(p.code, mwcode.File(file),
			mwcode.Field(d.path(p.field)), mwcode.Expected(p.expected)))
	}
	return s, errors.Join(errs...)
}

// path returns "Kind/Name" or, if field is not empty, "Kind/Name.field", for
// use in errors.
func (d Document) path(field string) string {
	p := string(d.Kind) + "/" + string(d.Name)
	if field != "" {
		p += "." + field
	}
	return p
}

func kindList() string {
	var ks []string
	for _, k := range Kinds() {
		ks = append(ks, string(k))
	}
	return strings.Join(ks, ", ")
}

// unknownFieldPrefix is the prefix of the encoding/json error for a field that
// the struct does not have. The package has no error type for it.
const unknownFieldPrefix = "json: unknown field "

// jsonError converts an error of encoding/json to one with a code.
func jsonError(file, field string, err error) error {
	if name, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return mwcode.New(mwcode.UnknownField, mwcode.File(file),
			mwcode.Field(strings.Trim(field+"."+strings.Trim(name, `"`), ".")),
			mwcode.Expected("a field that docs/CONFIGURATION.md names"))
	}
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return mwcode.New(mwcode.BadValue, mwcode.File(file),
			mwcode.Field(strings.Trim(field+"."+te.Field, ".")),
			mwcode.Expected(te.Type.String()+", not "+te.Value))
	}
	return mwcode.New(mwcode.BadDocument, mwcode.File(file), mwcode.Field(field), mwcode.Wrap(err))
}
