package mwoperator

import (
	"context"
	"encoding/json"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwstore"
)

// pageRows is the maximum number of rows that one scan reads.
const pageRows = 256

// decode decodes the JSON value of a row.
func decode[T any](r mwstore.Row) (T, error) {
	var v T
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return v, mwcode.New(mwcode.BadDocument, mwcode.Field(string(r.Key)), mwcode.Wrap(err))
	}
	return v, nil
}

// readRow reads and decodes one row. If the row does not exist, it returns the
// zero value and revision 0.
func readRow[T any](ctx context.Context, t mwstore.Table, k mwstore.Key) (T, mwid.Revision, error) {
	var zero T
	r, err := t.Get(ctx, k)
	if mwcode.CodeOf(err) == mwcode.NotFound {
		return zero, 0, nil
	}
	if err != nil {
		return zero, 0, err
	}
	v, err := decode[T](r)
	return v, r.Revision, err
}

// Version returns the last accepted version, or 0 if there is none.
func (o *Operator) Version(ctx context.Context) (mwid.Version, error) {
	v, _, err := readRow[mwconfig.VersionRow](ctx, o.store, mwconfig.VersionKey)
	return v.Version, err
}

// Get returns one document. If the document does not exist, the error has the
// code mwcode.NotFound.
func (o *Operator) Get(ctx context.Context, k mwconfig.Kind, n mwconfig.DocumentName) (Stored, error) {
	r, err := o.store.Get(ctx, mwconfig.DocumentKey(k, n))
	if err != nil {
		return Stored{}, err
	}
	d, err := decode[mwconfig.Document](r)
	return Stored{Document: d, Revision: r.Revision}, err
}

// List returns the documents of kind k in order of name, or those of all kinds
// if k is empty.
func (o *Operator) List(ctx context.Context, k mwconfig.Kind) ([]Stored, error) {
	prefix := mwconfig.DocumentPrefix
	if k != "" {
		prefix += mwstore.Key(k) + "/"
	}
	var out []Stored
	var after mwstore.Key
	for {
		rows, err := o.store.Scan(ctx, prefix, after, pageRows)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			d, err := decode[mwconfig.Document](r)
			if err != nil {
				return nil, err
			}
			out = append(out, Stored{Document: d, Revision: r.Revision})
			after = r.Key
		}
		if len(rows) < pageRows {
			return out, nil
		}
	}
}

// History returns up to limit changes with a version above after, oldest
// first.
func (o *Operator) History(ctx context.Context, after mwid.Version, limit int) ([]mwconfig.Change, error) {
	rows, err := o.store.Scan(ctx, mwconfig.ChangePrefix, mwconfig.ChangeKey(after), limit)
	if err != nil {
		return nil, err
	}
	out := make([]mwconfig.Change, 0, len(rows))
	for _, r := range rows {
		c, err := decode[mwconfig.Change](r)
		if err != nil {
			return out, err
		}
		out = append(out, c)
	}
	return out, nil
}
