// Package mwoperator is the operators' side of the configuration: it reads
// and changes documents in the platform's table, each change as one
// transaction with its audit record.
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

// Operator applies operators' changes to the configuration.
//
// One transaction checks the revisions that the operator saw and the row of
// the global version, and writes the documents, the audit record, the row of
// the operation id and the next version. The row of the version orders all
// changes; the row of the operation id tells, after a lost answer, what
// became of the change. So of two racing operators one wins and the other
// gets a *ConflictError, and no change is made twice.
//
// An Operator has no state of its own; any number may work at the same time.
type Operator struct {
	store mwstore.Store
	options
}

// options are what Options change.
type options struct {
	log           *slog.Logger
	snapshotEvery mwid.Version
	retryDelay    time.Duration
}

// Option changes how New makes an Operator.
type Option = mwoption.Option[options]

// Defaults of the options.
const (
	// DefaultSnapshotEvery is the number of versions between two snapshots.
	DefaultSnapshotEvery mwid.Version = 32
	// DefaultRetryDelay is the longest wait before the second try of a
	// change that lost the race for the next version.
	DefaultRetryDelay = 20 * time.Millisecond
)

// WithLog sets where the Operator logs.
func WithLog(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithSnapshotEvery sets the number of versions between two snapshots.
func WithSnapshotEvery(n mwid.Version) Option {
	return func(o *options) { o.snapshotEvery = max(n, 1) }
}

// New returns an Operator that works on s.
func New(s mwstore.Store, opts ...Option) *Operator {
	o := &Operator{store: s, options: options{
		log:           slog.Default(),
		snapshotEvery: DefaultSnapshotEvery,
		retryDelay:    DefaultRetryDelay,
	}}
	mwoption.Apply(&o.options, opts...)
	return o
}

// Edit is a change of one document.
type Edit struct {
	// Document is the document as it should be; for a deletion only Kind
	// and Name count.
	Document mwconfig.Document
	// Delete tells that the document should be removed.
	Delete bool
	// Expected is the revision of the document that the operator saw; 0
	// for none.
	Expected mwid.Revision
}

// Receipt tells that a change was accepted. It does not tell where the
// change is in force.
type Receipt struct {
	Version  mwid.Version
	Revision mwid.Revision // Revision is that of each document written.
}

// Stored is a document in the table.
type Stored struct {
	Document mwconfig.Document
	Revision mwid.Revision
}

// Delete removes one document, as Apply does.
func (o *Operator) Delete(ctx context.Context, op mwid.OperationID, who mwid.OperatorName,
	k mwconfig.Kind, n mwconfig.DocumentName, expected mwid.Revision) (Receipt, error) {
	return o.Apply(ctx, op, who, []Edit{{
		Document: mwconfig.Document{Kind: k, Name: n}, Delete: true, Expected: expected,
	}})
}
