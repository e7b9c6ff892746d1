// Package mwoption holds the generic functional option that constructors
// take.
package mwoption

// Option changes one setting of a T.
type Option[T any] func(*T)

// Apply applies opts to t in order.
func Apply[T any](t *T, opts ...Option[T]) {
	for _, o := range opts {
		o(t)
	}
}
