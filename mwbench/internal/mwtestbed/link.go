package mwtestbed

import (
	"context"
	"sync/atomic"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwstore"
)

// Link is one node's way to the store. While it is cut, the node gets no
// answer, as if a network partition were between the two: what it asks for
// is not done, and what was asked for before may be done unheard.
type Link struct {
	store       mwstore.Store
	partitioned atomic.Bool
}

var _ mwstore.Store = (*Link)(nil)

// NewLink returns a Link to s that is not cut.
func NewLink(s mwstore.Store) *Link { return &Link{store: s} }

// SetPartitioned cuts the link, or mends it.
func (l *Link) SetPartitioned(on bool) { l.partitioned.Store(on) }

// read runs f, which changes nothing.
func read[T any](l *Link, f func() (T, error)) (T, error) {
	var zero T
	if l.partitioned.Load() {
		return zero, mwcode.New(mwcode.StoreAway)
	}
	v, err := f()
	if l.partitioned.Load() {
		return zero, mwcode.New(mwcode.StoreAway)
	}
	return v, err
}

// write runs f, which takes effect. An answer that meets a cut is lost.
func write[T any](l *Link, f func() (T, error)) (T, error) {
	var zero T
	if l.partitioned.Load() {
		return zero, mwcode.New(mwcode.StoreAway)
	}
	v, err := f()
	if l.partitioned.Load() {
		return zero, mwcode.New(mwcode.StoreUnknown)
	}
	return v, err
}

// Get reads one row.
func (l *Link) Get(ctx context.Context, k mwstore.Key) (mwstore.Row, error) {
	return read(l, func() (mwstore.Row, error) { return l.store.Get(ctx, k) })
}

// Scan reads rows.
func (l *Link) Scan(ctx context.Context, prefix, after mwstore.Key, limit int) ([]mwstore.Row, error) {
	return read(l, func() ([]mwstore.Row, error) { return l.store.Scan(ctx, prefix, after, limit) })
}

// Commit runs a transaction.
func (l *Link) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	return write(l, func() (mwstore.Receipt, error) { return l.store.Commit(ctx, t) })
}

// PutObject stores an object.
func (l *Link) PutObject(ctx context.Context, k mwstore.Key, v []byte) error {
	_, err := write(l, func() (struct{}, error) { return struct{}{}, l.store.PutObject(ctx, k, v) })
	return err
}

// GetObject reads an object.
func (l *Link) GetObject(ctx context.Context, k mwstore.Key) ([]byte, error) {
	return read(l, func() ([]byte, error) { return l.store.GetObject(ctx, k) })
}
