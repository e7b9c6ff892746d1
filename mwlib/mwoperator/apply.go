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

// maxTries bounds how often a change runs for the next version.
const maxTries = 32

// change is one call of Apply.
type change struct {
	o     *Operator
	op    mwid.OperationID
	who   mwid.OperatorName
	edits []Edit
}

// Apply makes all edits or none. Asked again with the same operation id, it
// returns the receipt of the change that was made and makes no other.
//
// Errors: a *ConflictError, with code mwcode.Conflict, where a document is
// not at the expected revision or op was used for other edits; codes of
// mwconfig.Compile where the documents don't fit together; mwcode.StoreAway
// and mwcode.StoreSlow where nothing was written; mwcode.StoreUnknown where
// it isn't known, and then the same op must be used to ask again.
func (o *Operator) Apply(ctx context.Context, op mwid.OperationID, who mwid.OperatorName, edits []Edit) (Receipt, error) {
	if op == "" || len(edits) == 0 {
		return Receipt{}, mwcode.New(mwcode.BadCommand,
			mwcode.Expected("an operation id and at least one document"))
	}
	c := &change{o: o, op: op, who: who, edits: edits}
	var unknown error // unknown is the error of a write of ours with no known outcome.
	for n := range maxTries {
		r, done, err := c.lookUp(ctx)
		if done {
			return r, err
		}
		if err != nil {
			return Receipt{}, worse(unknown, err)
		}
		r, err = c.try(ctx)
		switch mwcode.Of(err) {
		case mwcode.OK:
			return r, nil
		case mwcode.StoreUnknown:
			unknown = err
		case mwcode.Conflict:
			if _, ok := AsConflict(err); ok && unknown == nil {
				return Receipt{}, err
			}
			// The row of the version has moved, so a write of ours that is
			// not there by now can't take effect any more.
			unknown = nil
		default:
			return Receipt{}, worse(unknown, err)
		}
		if err := c.pause(ctx, n); err != nil {
			return Receipt{}, worse(unknown, err)
		}
	}
	return Receipt{}, worse(unknown, mwcode.New(mwcode.Conflict,
		mwcode.Field(string(mwconfig.VersionKey)), mwcode.Expected("fewer changes at the same time")))
}

// worse returns err, or unknown where an earlier write may have taken
// effect: then nobody may say that nothing was written.
func worse(unknown, err error) error {
	if unknown == nil {
		return err
	}
	return mwcode.New(mwcode.StoreUnknown, mwcode.Wrap(err))
}

// pause waits a random time that grows with the number of tries.
func (c *change) pause(ctx context.Context, n int) error {
	d := c.o.retryDelay * time.Duration(n+1)
	if !mwtimer.Sleep(ctx, rand.N(d)+1) {
		return mwcode.New(mwcode.StoreAway, mwcode.Wrap(context.Cause(ctx)))
	}
	return nil
}

// lookUp returns what became of the operation; done is false where nothing
// is known of it.
func (c *change) lookUp(ctx context.Context) (r Receipt, done bool, err error) {
	v, rev, err := row[mwconfig.VersionRow](ctx, c.o.store, mwconfig.OperationKey(c.op))
	if err != nil || rev == 0 {
		return Receipt{}, false, err
	}
	made, _, err := row[mwconfig.Change](ctx, c.o.store, mwconfig.ChangeKey(v.Version))
	if err != nil {
		return Receipt{}, false, err
	}
	if !c.madeOf(made) {
		return Receipt{}, true, &ConflictError{Operation: c.op, Version: v.Version}
	}
	return Receipt{Version: v.Version, Revision: rev}, true, nil
}

// madeOf tells whether m is the change that c asks for.
func (c *change) madeOf(m mwconfig.Change) bool {
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

// sameSpec compares two specs as compact JSON.
func sameSpec(a, b json.RawMessage) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// try runs for the next version once.
func (c *change) try(ctx context.Context) (Receipt, error) {
	v, rev, err := row[mwconfig.VersionRow](ctx, c.o.store, mwconfig.VersionKey)
	if err != nil {
		return Receipt{}, err
	}
	stored, err := c.o.List(ctx, "")
	if err != nil {
		return Receipt{}, err
	}
	made, err := c.build(v.Version+1, stored)
	if err != nil {
		return Receipt{}, err
	}
	docs := made.Apply(documents(stored))
	if _, err := mwconfig.Compile(made.Version, docs); err != nil {
		return Receipt{}, c.misfit(ctx, rev, err)
	}
	txn, err := c.txn(made, rev)
	if err != nil {
		return Receipt{}, err
	}
	done, err := c.o.store.Commit(ctx, txn)
	if err != nil {
		return Receipt{}, err
	}
	c.o.keep(ctx, mwconfig.Whole{Version: made.Version, Documents: docs})
	return Receipt{Version: made.Version, Revision: done.Revision}, nil
}

// misfit returns err, or a conflict where another change came in between
// the reads: then the documents read were never together.
func (c *change) misfit(ctx context.Context, rev mwid.Revision, err error) error {
	_, now, readErr := row[mwconfig.VersionRow](ctx, c.o.store, mwconfig.VersionKey)
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

// build returns the change to v, made on top of stored.
func (c *change) build(v mwid.Version, stored []Stored) (mwconfig.Change, error) {
	made := mwconfig.Change{Version: v, Operation: c.op, Operator: c.who, At: time.Now().UTC()}
	for _, e := range c.edits {
		it, err := e.item(stored)
		if err != nil {
			return made, err
		}
		made.Items = append(made.Items, it)
	}
	return made, nil
}

// item returns the entry of e in the audit record, or a *ConflictError.
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

// txn returns the transaction of made; rev is the revision of the row of the
// version.
func (c *change) txn(made mwconfig.Change, rev mwid.Revision) (mwstore.Txn, error) {
	v := mwconfig.VersionRow{Version: made.Version}
	b := &builder{}
	b.write(mwconfig.VersionKey, rev, v)
	b.write(mwconfig.OperationKey(c.op), 0, v)
	b.write(mwconfig.ChangeKey(made.Version), 0, made)
	for _, it := range made.Items {
		k := mwconfig.DocumentKey(it.Document.Kind, it.Document.Name)
		if it.Deleted {
			b.remove(k, it.From)
			continue
		}
		b.write(k, it.From, it.Document)
	}
	return b.Txn, b.err
}

// builder collects the rows of a transaction, each with its check.
type builder struct {
	mwstore.Txn
	err error
}

func (b *builder) write(k mwstore.Key, rev mwid.Revision, v any) {
	value, err := json.Marshal(v)
	if err != nil && b.err == nil {
		b.err = mwcode.New(mwcode.BadDocument, mwcode.Field(string(k)), mwcode.Wrap(err))
	}
	b.Checks = append(b.Checks, mwstore.Check{Key: k, Revision: rev})
	b.Writes = append(b.Writes, mwstore.Write{Key: k, Value: value})
}

func (b *builder) remove(k mwstore.Key, rev mwid.Revision) {
	b.Checks = append(b.Checks, mwstore.Check{Key: k, Revision: rev})
	b.Writes = append(b.Writes, mwstore.Write{Key: k, Delete: true})
}

// keep writes the snapshot object where w's version is due. The log of
// changes has everything, so a failure only costs later readers time.
func (o *Operator) keep(ctx context.Context, w mwconfig.Whole) {
	if w.Version%o.snapshotEvery != 0 {
		return
	}
	b, err := json.Marshal(w)
	if err == nil {
		err = o.store.PutObject(ctx, mwconfig.SnapshotKey, b)
	}
	if err != nil {
		o.log.Warn("snapshot not written", "Version", w.Version, "Code", int(mwcode.Of(err)), "Error", err)
	}
}
