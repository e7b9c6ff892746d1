package mwconfig

import (
	"fmt"
	"slices"
	"time"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwstore"
)

// Change is one accepted change of the configuration and its entry in the
// audit trail. It is written once, in the transaction that sets the version row
// to Version, so that the changes form a log without gaps.
type Change struct {
	Version   mwid.Version
	Operation mwid.OperationID
	Operator  mwid.OperatorName
	At        time.Time
	Items     []Item
}

// Item is the change of one document.
type Item struct {
	Document Document
	// Deleted reports whether the document was removed; Document has no Spec
	// then.
	Deleted bool `json:",omitempty"`
	// From is the revision of the row that the operator saw, or 0 if the
	// document did not exist.
	From mwid.Revision
	// Before is the previous document, or nil if there was none.
	Before *Document `json:",omitempty"`
}

// Keys of the configuration's rows in the table and its objects.
const (
	// VersionKey is the key of the row that holds the latest version, as a
	// VersionRow.
	VersionKey mwstore.Key = "Config/Version"
	// DocumentPrefix starts the keys of rows that hold a Document.
	DocumentPrefix mwstore.Key = "Config/Document/"
	// ChangePrefix starts the keys of rows that hold a Change.
	ChangePrefix mwstore.Key = "Config/Change/"
	// OperationPrefix starts the keys of rows that hold a VersionRow: the
	// version that an operation created.
	OperationPrefix mwstore.Key = "Config/Operation/"
	// SnapshotKey is the key of the object that holds a Whole.
	SnapshotKey mwstore.Key = "Config/Snapshot"
)

// VersionRow is the value of a row that holds a version.
type VersionRow struct {
	Version mwid.Version
}

// Whole is the complete configuration of one version.
type Whole struct {
	Version   mwid.Version
	Documents []Document
}

// DocumentKey returns the key of the row of a document.
func DocumentKey(k Kind, n DocumentName) mwstore.Key {
	return DocumentPrefix + mwstore.Key(k) + "/" + mwstore.Key(n)
}

// ChangeKey returns the key of the row of the change to version v. The keys
// sort in the order of the versions.
func ChangeKey(v mwid.Version) mwstore.Key {
	return ChangePrefix + mwstore.Key(fmt.Sprintf("%020d", v))
}

// OperationKey returns the key of the row of operation o.
func OperationKey(o mwid.OperationID) mwstore.Key {
	return OperationPrefix + mwstore.Key(o)
}

// Apply returns a copy of docs with the items of c applied.
func (c Change) Apply(docs []Document) []Document {
	out := slices.Clone(docs)
	for _, it := range c.Items {
		out = slices.DeleteFunc(out, func(d Document) bool {
			return d.Kind == it.Document.Kind && d.Name == it.Document.Name
		})
		if !it.Deleted {
			out = append(out, it.Document)
		}
	}
	return out
}
