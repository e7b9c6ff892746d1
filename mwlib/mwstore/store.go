// Package mwstore holds what the system asks of the platform: a
// transactional table and an object store. Everything that must last or be
// agreed on lives there.
package mwstore

import (
	"context"

	"mustardwheel.example/mwlib/mwid"
)

// Key is the key of a row or an object. Keys are ordered as strings.
type Key string

// Row is one row of the table. Its Revision grows with each write to it.
type Row struct {
	Key      Key
	Value    []byte
	Revision mwid.Revision
}

// Check is a condition of a Txn: the row's revision is Revision; 0 means
// that there is no such row.
type Check struct {
	Key      Key
	Revision mwid.Revision
}

// Write sets the value of a row, or removes the row.
type Write struct {
	Key    Key
	Value  []byte
	Delete bool
}

// Txn is one transaction: where all Checks hold, all Writes take effect,
// else none.
type Txn struct {
	Checks []Check
	Writes []Write
}

// Receipt tells the revision that the rows written by a Txn have now.
type Receipt struct {
	Revision mwid.Revision
}

// Table is the platform's transactional table.
//
// Errors carry these codes: mwcode.Conflict where a check failed;
// mwcode.StoreAway and mwcode.StoreSlow where nothing was written;
// mwcode.StoreUnknown where a Commit may or may not have taken effect;
// mwcode.NotFound from Get where there is no row.
type Table interface {
	// Get reads one row.
	Get(ctx context.Context, k Key) (Row, error)
	// Scan reads up to limit rows whose keys start with prefix and come
	// after the key after, in order of key.
	Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Commit runs t.
	Commit(ctx context.Context, t Txn) (Receipt, error)
}

// Objects is the platform's object store. Its errors carry the codes of
// Table.
type Objects interface {
	// PutObject stores v whole under k.
	PutObject(ctx context.Context, k Key, v []byte) error
	// GetObject returns what was last stored under k.
	GetObject(ctx context.Context, k Key) ([]byte, error)
}

// Store is the platform's table and object store together.
type Store interface {
	Table
	Objects
}
