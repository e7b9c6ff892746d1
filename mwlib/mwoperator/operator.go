// Package mwoperator lets operators read and change the configuration in the
// platform's table. Each change is one transaction that includes its audit
// record.
package mwoperator

import (
	"context"
	"log/slog"
	"time"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwstore"
)

// Operator reads and changes the configuration.
//
// Each change is one transaction. It checks the version row and the document
// revisions that the operator saw, and writes the documents, the audit record,
// the row of the operation id and the next version. The version row puts all
// changes in one order, so that of two operators who change the same document
// concurrently one succeeds and the other gets a *ConflictError. The row of the
// operation id records the version that a change created, so that a change
// whose reply was lost is not made twice.
//
// An Operator keeps no state; any number of them may work concurrently.
type Operator struct {
	store mwstore.Store
	options
}

// options holds the values that an Option can set.
type options struct {
	log           *slog.Logger
	snapshotEvery mwid.Version
	retryDelay    time.Duration
}

// Option sets an optional parameter of New.
type Option = mwoption.Option[options]

// Defaults of the options.
const (
	// DefaultSnapshotEvery is the number of versions between two snapshots.
	DefaultSnapshotEvery mwid.Version = 32
	// DefaultRetryDelay is the maximum delay before the second attempt to
	// commit a change, after a conflict with a concurrent change or an
	// unknown outcome.
	DefaultRetryDelay = 20 * time.Millisecond
)

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithSnapshotEvery sets the number of versions between two snapshots.
func WithSnapshotEvery(n mwid.Version) Option {
	return func(o *options) { o.snapshotEvery = max(n, 1) }
}

// New returns an Operator that uses the store s.
func New(s mwstore.Store, opts ...Option) *Operator {
	o := &Operator{store: s, options: options{
		log:           slog.Default(),
		snapshotEvery: DefaultSnapshotEvery,
		retryDelay:    DefaultRetryDelay,
	}}
	mwoption.Apply(&o.options, opts...)
	return o
}

// Edit is a requested change of one document.
type Edit struct {
	// Document is the new document; a deletion uses only its Kind and Name.
	Document mwconfig.Document
	// Delete requests that the document be removed.
	Delete bool
	// Expected is the revision of the document that the operator saw, or 0 if
	// there was no document.
	Expected mwid.Revision
}

// Receipt confirms that a change was accepted. It does not say at which nodes
// the change is in force.
type Receipt struct {
	Version  mwid.Version
	Revision mwid.Revision // revision of each document written
}

// Stored is a document in the table.
type Stored struct {
	Document mwconfig.Document
	Revision mwid.Revision
}

// Delete removes one document. It behaves like Apply.
func (o *Operator) Delete(ctx context.Context, op mwid.OperationID, operator mwid.OperatorName,
	k mwconfig.Kind, n mwconfig.DocumentName, expected mwid.Revision) (Receipt, error) {
	return o.Apply(ctx, op, operator, []Edit{{
		Document: mwconfig.Document{Kind: k, Name: n}, Delete: true, Expected: expected,
	}})
}
