// Package mwstore defines the interface to the platform's storage: a
// transactional table and an object store. All state that must survive a
// restart, or that nodes must agree on, is kept there.
package mwstore

import (
	"context"

	"mustardwheel.example/mwlib/mwid"
)

// Key is the key of a row or an object. Keys are ordered as strings.
type Key string

// Row is one row of the table. Its Revision increases with each write to it.
type Row struct {
	Key      Key
	Value    []byte
	Revision mwid.Revision
}

// Check is a condition of a Txn: the row must have the given Revision. A
// Revision of 0 means that the row must not exist.
type Check struct {
	Key      Key
	Revision mwid.Revision
}

// Write sets the value of a row, or deletes the row if Delete is set.
type Write struct {
	Key    Key
	Value  []byte
	Delete bool
}

// Txn is one transaction. If all Checks hold, all Writes take effect;
// otherwise none do.
type Txn struct {
	Checks []Check
	Writes []Write
}

// Receipt holds the new revision of the rows written by a Txn.
type Receipt struct {
	Revision mwid.Revision
}

// Table is the platform's transactional table.
//
// Errors carry one of these codes: mwcode.Conflict if a check failed;
// mwcode.StoreAway or mwcode.StoreSlow if nothing was written;
// mwcode.StoreUnknown if a Commit may or may not have taken effect;
// mwcode.NotFound if Get finds no row.
type Table interface {
	// Get reads one row.
	Get(ctx context.Context, k Key) (Row, error)
	// Scan returns up to limit rows whose keys have the given prefix and are
	// greater than after, sorted by key.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit executes t.
	Commit(ctx context.Context, t Txn) (Receipt, error)
}

// Objects is the platform's object store. Its errors carry the same codes as
// those of Table.
type Objects interface {
	// PutObject stores v under k as a whole.
	PutObject(ctx context.Context, k Key, v []byte) error
	// GetObject returns the value last stored under k.
	GetObject(ctx context.Context, k Key) ([]byte, error)
}

// Store combines the platform's table and object store.
type Store interface {
	Table
	Objects
}
