package mwversion

import "time"

// Duty says whether and why a node reads the source of the configuration.
type Duty int

// Duties.
const (
	// None is the duty of a node that learns of new versions from other nodes.
	None Duty = iota
	// Follower is the duty of the nodes of an availability zone with the highest
	// ranks, except the first. They may wait for long until the source responds.
	Follower
	// Leader is the duty of the first node of an availability zone. It has to notice
	// soon that the source has stopped to respond.
	Leader
	// Substitute is the duty of a node that does not hear of any Leader, or that
	// can't get a version that other nodes have. It depends on the source alone, so
	// it has to notice that as soon.
	Substitute
)

// dutyNames are the names of the duties in log lines.
var dutyNames = [...]string{None: "None", Follower: "Follower", Leader: "Leader", Substitute: "Substitute"}

// String returns the name of d.
func (d Duty) String() string { return dutyNames[d] }

// Duties of reading the source.
const (
	readDuty       = "poll" // duty for which nodes are ranked
	readersPerZone = 3
	// dutyDelay is the time after its start at which a node may begin to follow a
	// Source. Until then it may take itself for the only node of its zone.
	dutyDelay = 2 * time.Second
	// substituteDelay is the time after its start at which a node may become a
	// Substitute. By then, most of the nodes that start together have heard of a
	// Leader.
	substituteDelay = 3500 * time.Millisecond
)

// DutyCheckPeriod is the time between two checks whether a node has another duty now.
const DutyCheckPeriod = 250 * time.Millisecond

// watcher is a membership that tells nodes whether another node reads the source.
type watcher interface {
	WatchSource(until time.Time, substitute bool)
	SourceWatched() bool
}

// Duty returns the duty of this node now, and logs each change.
func (f *Fanout) Duty() Duty {
	rank := f.pollRank()
	d := f.dutyOf(rank)
	if old := Duty(f.lastDuty.Swap(int32(d))); old != d {
		newest, _ := f.member.Newest()
		f.log.Info("duty to read the configuration changed", "Duty", d.String(), "Before", old.String(),
			"Rank", rank, "InForce", f.version(), "Newest", newest)
	}
	return d
}

func (f *Fanout) dutyOf(rank int) Duty {
	age := time.Since(f.started)
	switch {
	case f.source != nil && age < dutyDelay:
		return None
	case rank == 0:
		return Leader
	case age >= substituteDelay && f.isOnItsOwn():
		return Substitute
	case rank < readersPerZone:
		return Follower
	}
	return None
}

// isOnItsOwn reports whether this node can't rely on other nodes for new versions.
func (f *Fanout) isOnItsOwn() bool {
	w, ok := f.member.(watcher)
	return ok && !w.SourceWatched() || f.isBehind() && f.fetchFailed.Load()
}

// Confirm tells other nodes that this node, with duty d, knows of each change of the
// source until the given time. A later call replaces that time, also by an earlier
// one.
func (f *Fanout) Confirm(d Duty, until time.Time) {
	if w, ok := f.member.(watcher); ok {
		w.WatchSource(until, d == Substitute)
	}
}

// ranker is a membership that ranks this node for a duty among the nodes of
// its availability zone.
type ranker interface{ Rank(duty string) int }

// pollRank returns the rank of this node among those of its availability zone that
// could read the source. Without a membership that ranks nodes, it is 0.
func (f *Fanout) pollRank() int {
	if r, ok := f.member.(ranker); ok {
		return r.Rank(readDuty)
	}
	return 0
}

// isBehind reports whether a higher version is known to be in force elsewhere.
func (f *Fanout) isBehind() bool {
	v, _ := f.member.Newest()
	return v > f.version()
}
