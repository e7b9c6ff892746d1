package mwstoreclient

import "context"

// Use says what a request is for. The smaller Use goes first.
type Use int

// Uses of the store.
const (
	// Claims decide whether a call that waits may run.
	Claims Use = iota
	// Polls look for changes of the configuration. It is the Use of a
	// request that has none.
	Polls
	// Snapshots can wait.
	Snapshots
	uses
)

// useKey is the key of the Use in a context.
type useKey struct{}

// WithUse returns a context whose requests are for u.
func WithUse(ctx context.Context, u Use) context.Context {
	return context.WithValue(ctx, useKey{}, u)
}

// UseOf returns the Use of requests with ctx.
func UseOf(ctx context.Context) Use {
	u, ok := ctx.Value(useKey{}).(Use)
	if !ok || u < 0 || u >= uses {
		return Polls
	}
	return u
}
