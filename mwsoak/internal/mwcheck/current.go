package mwcheck

import (
	"fmt"
	"time"
)

// change is one acknowledged change of the configuration.
type change struct {
	version int
	at      time.Time // at is when it was acknowledged.
}

// ChangeAcked records when the operator's change to version was acknowledged.
// Versions rise by one with each change.
func (c *Checker) ChangeAcked(version int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change{version, at})
}

// NotInForce records that a response showed that version is not in force at a node;
// sent is when the request was sent. No newer version may have been written before the
// response arrived, since the route of version would then be missing rightly.
func (c *Checker) NotInForce(inc Incarnation, version int, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == c.dueVersion(sent) {
		c.addViolation(Current, fmt.Sprintf("node %d", inc.Node), "without version %d", version)
	}
}

// checkCurrent checks a version that was in force at a node after sent. The caller
// holds c.mu.
func (c *Checker) checkCurrent(inc Incarnation, version int, sent time.Time) {
	if due := c.dueVersion(sent); version < due {
		c.addViolation(Current, fmt.Sprintf("node %d", inc.Node), "version %d instead of at least %d", version, due)
	}
}

// dueVersion returns the oldest version that may be in force at a node at the given
// time, 0 if any may. The caller holds c.mu.
func (c *Checker) dueVersion(at time.Time) int {
	if c.bounds.Apply == 0 || !c.faultFree(at, c.bounds.Settle) {
		return 0
	}
	due := 0
	for _, x := range c.changes {
		if at.Sub(x.at) > c.bounds.Apply {
			due = x.version
		}
	}
	return due
}

// CurrentAt returns when the newest version must be in force at all nodes, provided that
// no fault and no change follows. It returns the zero time if that is not checked.
func (c *Checker) CurrentAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bounds.Apply == 0 {
		return time.Time{}
	}
	at := c.lastFaultEnd.Add(c.bounds.Settle)
	if n := len(c.changes); n > 0 && c.changes[n-1].at.Add(c.bounds.Apply).After(at) {
		at = c.changes[n-1].at.Add(c.bounds.Apply)
	}
	return at
}
