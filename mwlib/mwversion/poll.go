package mwversion

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

// Parameters of polling the store.
const (
	pollTimeout = 2 * time.Second
	pageRows    = 128
	// maxLogChanges is the number of missing versions above which the node
	// first reads the snapshot object, and then only the rest of the log.
	maxLogChanges = 256
)

// pollLoop polls the store once per period while this node has the duty to. The
// first poll comes after a random part of the period. By then, nodes that start
// together know which of them have it.
func (f *Fanout) pollLoop(ctx context.Context) {
	wait := rand.N(f.poll) + 1
	for mwtimer.Sleep(ctx, wait) {
		wait = min(f.poll, DutyCheckPeriod)
		if d := f.Duty(); d != None {
			start := time.Now()
			f.pollOnce(ctx, d)
			wait = f.poll - time.Since(start)
		}
	}
}

// pollOnce reads the version row and, if its version is higher than the one in
// force, the changes up to that version.
func (f *Fanout) pollOnce(ctx context.Context, d Duty) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	f.stat.countRead(fromStore)
	r, v, err := f.readVersion(ctx)
	if err != nil {
		f.stat.countFailure(fromStore)
		f.log.Warn("failed to read configuration version", "Code", int(mwcode.CodeOf(err)), "Error", err)
		return
	}
	current := f.version()
	if v < current {
		f.logStaleRead(v, current)
		return
	}
	if v > current {
		f.readChanges(ctx, v, r)
	}
	if f.version() >= v {
		f.Confirm(d, time.Now().Add(f.poll))
	}
}

// logStaleRead counts and logs a stale read of the version row.
func (f *Fanout) logStaleRead(v, current mwid.Version) {
	if err := f.rejectStale(fromStore, v, current); err != nil {
		f.log.Debug("store returned a version below the one in force", "Error", err)
	}
}

// readVersion reads the version row; a missing row means version 0.
func (f *Fanout) readVersion(ctx context.Context) (mwid.Revision, mwid.Version, error) {
	r, err := f.store.Get(ctx, mwconfig.VersionKey)
	if mwcode.CodeOf(err) == mwcode.NotFound {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	v, err := decode[mwconfig.VersionRow](r.Key, r.Value)
	return r.Revision, v.Version, err
}

// decode decodes the JSON value of the row or object with key k.
func decode[T any](k mwstore.Key, b []byte) (T, error) {
	var v T
	if err := json.Unmarshal(b, &v); err != nil {
		return v, mwcode.New(mwcode.BadDocument, mwcode.Field(string(k)), mwcode.Wrap(err))
	}
	return v, nil
}

// readChanges brings the node to version v. It reads the log of changes, and
// before it the snapshot object if the node has no configuration or is far
// behind. If the store is available but the log can't be used, readChanges
// reads the documents themselves.
func (f *Fanout) readChanges(ctx context.Context, v mwid.Version, r mwid.Revision) {
	if current := f.version(); current == 0 || v-current > maxLogChanges {
		f.readSnapshot(ctx)
	}
	err := f.readLog(ctx, v)
	if err == nil || isUnavailable(err) {
		return
	}
	if err := f.readDocuments(ctx, v, r); err != nil {
		f.log.Warn("failed to read documents from the store", "Code", int(mwcode.CodeOf(err)), "Error", err)
	}
}

// isUnavailable reports whether err says that the store was unavailable or
// throttled the read.
func isUnavailable(err error) bool {
	c := mwcode.CodeOf(err)
	return c == mwcode.StoreAway || c == mwcode.StoreSlow
}

// readSnapshot puts the snapshot object in force if it is newer.
func (f *Fanout) readSnapshot(ctx context.Context) {
	b, err := f.store.GetObject(ctx, mwconfig.SnapshotKey)
	if err != nil {
		f.log.Debug("failed to read snapshot object", "Code", int(mwcode.CodeOf(err)), "Error", err)
		return
	}
	w, err := decode[mwconfig.Whole](mwconfig.SnapshotKey, b)
	if err == nil && w.Version > f.version() {
		err = f.installWhole(fromStore, w)
	}
	if err != nil {
		f.log.Warn("failed to install snapshot object", "Code", int(mwcode.CodeOf(err)), "Error", err)
	}
}

// readLog puts the changes up to v in force.
func (f *Fanout) readLog(ctx context.Context, v mwid.Version) error {
	for f.version() < v {
		current := f.version()
		rows, err := f.store.Scan(ctx, mwconfig.ChangePrefix, mwconfig.ChangeKey(current), pageRows)
		if err != nil {
			return err
		}
		cs, decodeErr := decodeChanges(rows)
		if err := f.installChanges(fromStore, cs); err != nil {
			return err
		}
		if decodeErr != nil {
			return f.refuse(fromStore, f.version()+1, decodeErr)
		}
		if f.version() == current {
			return mwcode.New(mwcode.StaleRead, mwcode.Field(string(mwconfig.ChangePrefix)))
		}
	}
	return nil
}

// decodeChanges decodes rows until the first invalid one. It returns the changes
// decoded by then and the error of the invalid row, if any.
func decodeChanges(rows []mwstore.Row) ([]mwconfig.Change, error) {
	var out []mwconfig.Change
	for _, r := range rows {
		c, err := decode[mwconfig.Change](r.Key, r.Value)
		if err == nil && mwconfig.ChangeKey(c.Version) != r.Key {
			err = mwcode.New(mwcode.BadDocument, mwcode.Field(string(r.Key)),
				mwcode.Expected("the version in its key"))
		}
		if err != nil {
			return out, err
		}
		out = append(out, c)
	}
	return out, nil
}

// readDocuments reads the document rows and puts them in force as version v.
// The scan is not one transaction. The rows belong to the same version only if
// the version row is still at revision r after the scan.
func (f *Fanout) readDocuments(ctx context.Context, v mwid.Version, r mwid.Revision) error {
	w := mwconfig.Whole{Version: v}
	var after mwstore.Key
	for {
		rows, err := f.store.Scan(ctx, mwconfig.DocumentPrefix, after, pageRows)
		if err != nil {
			return err
		}
		for _, x := range rows {
			d, err := decode[mwconfig.Document](x.Key, x.Value)
			if err != nil {
				return f.refuse(fromStore, v, err)
			}
			w.Documents = append(w.Documents, d)
			after = x.Key
		}
		if len(rows) < pageRows {
			break
		}
	}
	now, _, err := f.readVersion(ctx)
	if err != nil {
		return err
	}
	if now != r {
		return mwcode.New(mwcode.Conflict, mwcode.Field(string(mwconfig.VersionKey)))
	}
	return f.installWhole(fromStore, w)
}
