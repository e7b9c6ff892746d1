package mwoperator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwtimer"
)

// maxAttempts is the maximum number of attempts to commit a change as the next
// version.
const maxAttempts = 32

// change is one call of Apply.
type change struct {
	o        *Operator
	op       mwid.OperationID
	operator mwid.OperatorName
	edits    []Edit
}

// Apply makes all edits or none. If it is called again with the same operation
// id, it returns the receipt of the change that was made and makes no other.
//
// Errors:
//   - mwcode.Conflict, as a *ConflictError, if a document is not at the expected
//     revision or op was used for other edits, and as a plain *mwcode.Error if
//     concurrent changes made every attempt fail;
//   - mwcode.NotFound if a document to delete does not exist and its Expected
//     revision is 0;
//   - mwcode.BadCommand if op or edits are empty;
//   - the codes of mwconfig.Compile if the resulting documents are invalid
//     together;
//   - mwcode.StoreAway or mwcode.StoreSlow if nothing was written;
//   - mwcode.StoreUnknown if a write may or may not have taken effect. The
//     caller must then repeat the call with the same op.
func (o *Operator) Apply(ctx context.Context, op mwid.OperationID, operator mwid.OperatorName, edits []Edit) (Receipt, error) {
	if op == "" || len(edits) == 0 {
		return Receipt{}, mwcode.New(mwcode.BadCommand,
			mwcode.Expected("an operation id and at least one document"))
	}
	c := &change{o: o, op: op, operator: operator, edits: edits}
	var unknown error // error of an earlier write whose outcome is unknown
	for n := range maxAttempts {
		r, done, err := c.lookUp(ctx)
		if done {
			return r, err
		}
		if err != nil {
			return Receipt{}, finalError(unknown, err)
		}
		r, err = c.attempt(ctx)
		switch mwcode.CodeOf(err) {
		case mwcode.OK:
			return r, nil
		case mwcode.StoreUnknown:
			unknown = err
		case mwcode.Conflict:
			if _, ok := AsConflict(err); ok && unknown == nil {
				return Receipt{}, err
			}
			// The version row has changed since the attempt with the unknown
			// outcome read it. That attempt checks the row's revision, so its
			// write has taken effect already or never will.
			unknown = nil
		default:
			return Receipt{}, finalError(unknown, err)
		}
		if err := c.backoff(ctx, n); err != nil {
			return Receipt{}, finalError(unknown, err)
		}
	}
	return Receipt{}, finalError(unknown, mwcode.New(mwcode.Conflict,
		mwcode.Field(string(mwconfig.VersionKey)), mwcode.Expected("fewer concurrent changes")))
}

// finalError returns err or, if unknown is set, a StoreUnknown error that wraps
// err: an earlier write may have taken effect, so Apply must not report that
// nothing was written.
func finalError(unknown, err error) error {
	if unknown == nil {
		return err
	}
	return mwcode.New(mwcode.StoreUnknown, mwcode.Wrap(err))
}

// backoff waits for a random time after attempt n; its upper limit grows
// linearly with n.
func (c *change) backoff(ctx context.Context, n int) error {
	d := c.o.retryDelay * time.Duration(n+1)
	if !mwtimer.Sleep(ctx, rand.N(d)+1) {
		return mwcode.New(mwcode.StoreAway, mwcode.Wrap(context.Cause(ctx)))
	}
	return nil
}

// lookUp looks up the operation in the table. If done is true, r and err are the
// result of Apply: the receipt of the recorded change, or a *ConflictError if
// the id belongs to another change. If done is false, the table has no record
// of the operation or, if err is not nil, could not be read.
func (c *change) lookUp(ctx context.Context) (r Receipt, done bool, err error) {
	v, rev, err := readRow[mwconfig.VersionRow](ctx, c.o.store, mwconfig.OperationKey(c.op))
	if err != nil || rev == 0 {
		return Receipt{}, false, err
	}
	recorded, _, err := readRow[mwconfig.Change](ctx, c.o.store, mwconfig.ChangeKey(v.Version))
	if err != nil {
		return Receipt{}, false, err
	}
	if !c.matches(recorded) {
		return Receipt{}, true, &ConflictError{Operation: c.op, Version: v.Version}
	}
	return Receipt{Version: v.Version, Revision: rev}, true, nil
}

// matches reports whether m is the change that c asks for.
func (c *change) matches(m mwconfig.Change) bool {
	if m.Operation != c.op || len(m.Items) != len(c.edits) {
		return false
	}
	for i, it := range m.Items {
		e := c.edits[i]
		same := it.Deleted == e.Delete && it.From == e.Expected &&
			it.Document.Kind == e.Document.Kind && it.Document.Name == e.Document.Name
		if !same || (!e.Delete && !sameSpec(it.Document.Spec, e.Document.Spec)) {
			return false
		}
	}
	return true
}

// sameSpec reports whether two specs are equal as compact JSON.
func sameSpec(a, b json.RawMessage) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// attempt makes one attempt to commit the change as the next version.
func (c *change) attempt(ctx context.Context) (Receipt, error) {
	v, rev, err := readRow[mwconfig.VersionRow](ctx, c.o.store, mwconfig.VersionKey)
	if err != nil {
		return Receipt{}, err
	}
	stored, err := c.o.List(ctx, "")
	if err != nil {
		return Receipt{}, err
	}
	next, err := c.build(v.Version+1, stored)
	if err != nil {
		return Receipt{}, err
	}
	docs := next.Apply(documents(stored))
	if _, err := mwconfig.Compile(next.Version, docs); err != nil {
		return Receipt{}, c.checkCompileError(ctx, rev, err)
	}
	txn, err := c.txn(next, rev)
	if err != nil {
		return Receipt{}, err
	}
	receipt, err := c.o.store.Commit(ctx, txn)
	if err != nil {
		return Receipt{}, err
	}
	c.o.writeSnapshot(ctx, mwconfig.Whole{Version: next.Version, Documents: docs})
	return Receipt{Version: next.Version, Revision: receipt.Revision}, nil
}

// checkCompileError returns err if the version row is still at revision rev.
// Otherwise another change was committed between the reads, so the documents
// that were read may belong to different versions, and checkCompileError
// returns a conflict.
func (c *change) checkCompileError(ctx context.Context, rev mwid.Revision, err error) error {
	_, now, readErr := readRow[mwconfig.VersionRow](ctx, c.o.store, mwconfig.VersionKey)
	if readErr != nil {
		return readErr
	}
	if now != rev {
		return mwcode.New(mwcode.Conflict, mwcode.Field(string(mwconfig.VersionKey)))
	}
	return err
}

func documents(stored []Stored) []mwconfig.Document {
	docs := make([]mwconfig.Document, len(stored))
	for i, s := range stored {
		docs[i] = s.Document
	}
	return docs
}

// build returns the change to version v, based on the stored documents.
func (c *change) build(v mwid.Version, stored []Stored) (mwconfig.Change, error) {
	next := mwconfig.Change{Version: v, Operation: c.op, Operator: c.operator, At: time.Now().UTC()}
	for _, e := range c.edits {
		it, err := e.item(stored)
		if err != nil {
			return next, err
		}
		next.Items = append(next.Items, it)
	}
	return next, nil
}

// item returns the entry of e in the audit trail, or a *ConflictError.
func (e Edit) item(stored []Stored) (mwconfig.Item, error) {
	it := mwconfig.Item{Document: e.Document, Deleted: e.Delete, From: e.Expected}
	if e.Delete {
		it.Document.Spec = nil
	}
	var found mwid.Revision
	for _, s := range stored {
		if s.Document.Kind == e.Document.Kind && s.Document.Name == e.Document.Name {
			it.Before = &s.Document
			found = s.Revision
		}
	}
	if e.Delete && found == 0 && e.Expected == 0 {
		return it, mwcode.New(mwcode.NotFound,
			mwcode.Field(string(e.Document.Kind)+"/"+string(e.Document.Name)))
	}
	if found != e.Expected {
		return it, &ConflictError{
			Kind: e.Document.Kind, Name: e.Document.Name,
			Expected: e.Expected, Found: found, Present: it.Before,
		}
	}
	return it, nil
}

// txn returns the transaction that commits next; rev is the revision of the
// version row.
func (c *change) txn(next mwconfig.Change, rev mwid.Revision) (mwstore.Txn, error) {
	v := mwconfig.VersionRow{Version: next.Version}
	b := &txnBuilder{}
	b.write(mwconfig.VersionKey, rev, v)
	b.write(mwconfig.OperationKey(c.op), 0, v)
	b.write(mwconfig.ChangeKey(next.Version), 0, next)
	for _, it := range next.Items {
		k := mwconfig.DocumentKey(it.Document.Kind, it.Document.Name)
		if it.Deleted {
			b.remove(k, it.From)
			continue
		}
		b.write(k, it.From, it.Document)
	}
	return b.Txn, b.err
}

// txnBuilder collects the writes of a transaction, each with a check of its
// row's revision.
type txnBuilder struct {
	mwstore.Txn
	err error
}

func (b *txnBuilder) write(k mwstore.Key, rev mwid.Revision, v any) {
	value, err := json.Marshal(v)
	if err != nil && b.err == nil {
		b.err = mwcode.New(mwcode.BadDocument, mwcode.Field(string(k)), mwcode.Wrap(err))
	}
	b.Checks = append(b.Checks, mwstore.Check{Key: k, Revision: rev})
	b.Writes = append(b.Writes, mwstore.Write{Key: k, Value: value})
}

func (b *txnBuilder) remove(k mwstore.Key, rev mwid.Revision) {
	b.Checks = append(b.Checks, mwstore.Check{Key: k, Revision: rev})
	b.Writes = append(b.Writes, mwstore.Write{Key: k, Delete: true})
}

// writeSnapshot writes the snapshot object if the version of w is a multiple of
// snapshotEvery. Failures are only logged: the log of changes is complete, so
// without the snapshot readers only take longer.
func (o *Operator) writeSnapshot(ctx context.Context, w mwconfig.Whole) {
	if w.Version%o.snapshotEvery != 0 {
		return
	}
	b, err := json.Marshal(w)
	if err == nil {
		err = o.store.PutObject(ctx, mwconfig.SnapshotKey, b)
	}
	if err != nil {
		o.log.Warn("failed to write snapshot object", "Version", w.Version, "Code", int(mwcode.CodeOf(err)), "Error", err)
	}
}
