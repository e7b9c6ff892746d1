// Package mwoption provides generic functional options for constructors.
package mwoption

// Option sets one option in a T.
type Option[T any] func(*T)

// Apply applies opts to t in order.
func Apply[T any](t *T, opts ...Option[T]) {
	for _, o := range opts {
		o(t)
	}
}
