package mwtestbed

import (
	"context"
	"sync/atomic"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwstore"
)

// Link connects one node to the store. While the Link is partitioned, the node
// gets no answer, as in a network partition: new requests do not reach the
// store, and a request in flight may take effect without an answer.
type Link struct {
	store       mwstore.Store
	partitioned atomic.Bool
}

var _ mwstore.Store = (*Link)(nil)

// NewLink returns a Link to s that is not partitioned.
func NewLink(s mwstore.Store) *Link { return &Link{store: s} }

// SetPartitioned starts a partition if on is true, and ends it otherwise.
func (l *Link) SetPartitioned(on bool) { l.partitioned.Store(on) }

// read runs f, which must not change the store.
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

// write runs f, which may change the store. If the link is partitioned when f
// returns, the answer is lost and the outcome is unknown.
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
