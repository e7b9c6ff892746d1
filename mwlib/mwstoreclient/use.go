package mwstoreclient

import "context"

// Use is the purpose of a request and sets its priority: the smallest Use is
// served first.
type Use int

// Uses of the store, the most urgent first.
const (
	// Claims decide whether a waiting call may run.
	Claims Use = iota
	// Polls check for changes of the configuration. A request without a Use
	// counts as Polls.
	Polls
	// Joins find other nodes.
	Joins
	// Snapshots are not urgent.
	Snapshots
	numUses
)

// useNames are the values of the label use in metrics.
var useNames = [numUses]string{"claims", "configuration", "membership", "snapshots"}

// String returns the name of u in metrics.
func (u Use) String() string { return useNames[u] }

// useKey is the context key of the Use.
type useKey struct{}

// WithUse returns a context whose requests have the use u.
func WithUse(ctx context.Context, u Use) context.Context {
	return context.WithValue(ctx, useKey{}, u)
}

// UseFromContext returns the Use of requests made with ctx, Polls if it has none.
func UseFromContext(ctx context.Context) Use {
	u, ok := ctx.Value(useKey{}).(Use)
	if !ok || u < 0 || u >= numUses {
		return Polls
	}
	return u
}
