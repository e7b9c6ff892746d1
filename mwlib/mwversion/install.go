package mwversion

import (
	"fmt"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
)

// origin is where a configuration came from.
type origin string

// Origins.
const (
	fromStore origin = "store" // the platform's table and object store, or a Source
	fromPeer  origin = "peer"  // another node
)

// maxRecentChanges is the maximum number of recent changes that a node keeps
// for others to fetch.
const maxRecentChanges = 64

// version returns the version in force, or 0 if there is none.
func (f *Fanout) version() mwid.Version {
	if s := f.cur.Load(); s != nil {
		return s.Version()
	}
	return 0
}

// installWhole puts w in force. If it returns an error, the configuration in
// force is unchanged.
func (f *Fanout) installWhole(o origin, w mwconfig.Whole) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.replace(o, w.Version, w.Documents); err != nil {
		return err
	}
	f.recent = nil
	return nil
}

// installChanges applies cs, which must be in order of version, to the
// configuration in force. Changes that are already in force are skipped.
func (f *Fanout) installChanges(o origin, cs []mwconfig.Change) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.version()
	var docs []mwconfig.Document
	if s := f.cur.Load(); s != nil {
		docs = s.Documents()
	}
	var added []mwconfig.Change
	for _, c := range cs {
		if c.Version <= v {
			continue
		}
		if c.Version != v+1 {
			return f.refuse(o, c.Version, mwcode.New(mwcode.BadDocument,
				mwcode.Field(string(mwconfig.ChangeKey(c.Version))),
				mwcode.Expected(fmt.Sprintf("version %d", v+1))))
		}
		v, docs = c.Version, c.Apply(docs)
		added = append(added, withoutAuditFields(c))
	}
	if len(added) == 0 {
		return nil
	}
	if err := f.replace(o, v, docs); err != nil {
		return err
	}
	f.recent = append(f.recent, added...)
	f.recent = f.recent[max(0, len(f.recent)-maxRecentChanges):]
	return nil
}

// withoutAuditFields returns c without the fields that only the audit trail
// needs.
func withoutAuditFields(c mwconfig.Change) mwconfig.Change {
	items := make([]mwconfig.Item, len(c.Items))
	for i, it := range c.Items {
		it.Before = nil
		items[i] = it
	}
	c.Items = items
	return c
}

// replace puts docs in force at version v if v is higher than the version in
// force and docs compile. It is the only method that changes the configuration
// in force; f.mu must be held.
func (f *Fanout) replace(o origin, v mwid.Version, docs []mwconfig.Document) error {
	if current := f.version(); v <= current {
		return f.rejectStale(o, v, current)
	}
	s, err := mwconfig.Compile(v, docs)
	if err != nil {
		return f.refuse(o, v, err)
	}
	f.cur.Store(s)
	f.stat.countInstall(o, v)
	f.member.SetVersion(v)
	f.log.Info("configuration in force", "Version", v, "Origin", o)
	return nil
}

// rejectStale returns an error for an offer of version v while version current
// is in force. It counts and logs the offer if v is lower.
func (f *Fanout) rejectStale(o origin, v, current mwid.Version) error {
	err := mwcode.New(mwcode.StaleRead, mwcode.Expected(fmt.Sprintf("a version above %d, not %d", current, v)))
	if v < current {
		f.noteStale(o, v, current)
	}
	return err
}

// noteStale counts and logs an offer of version v, which is below version current
// in force.
func (f *Fanout) noteStale(o origin, v, current mwid.Version) {
	f.stat.countStale(o)
	f.log.Warn("stale configuration ignored", "Code", int(mwcode.StaleRead),
		"Version", v, "InForce", current, "Origin", o)
}

// refuse counts and logs a configuration that can't be put in force, and
// returns err.
func (f *Fanout) refuse(o origin, v mwid.Version, err error) error {
	f.stat.countRefusal(o)
	f.log.Error("configuration rejected", "Code", int(mwcode.CodeOf(err)),
		"Version", v, "InForce", f.version(), "Origin", o, "Error", err)
	return err
}
