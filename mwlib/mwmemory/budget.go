// Package mwmemory bounds the memory that the connections of a node hold
// together for requests that are larger than usual.
//
// Each connection has an Account. What it holds up to Allowance is its own; an
// upper limit on the number of connections bounds the sum of that. What it holds
// beyond is charged to the Budget of the node. When the Budget is used up, the
// connection that holds the most pays, so that a crowd of connections that each
// hold a lot can't displace those that hold little.
package mwmemory

import (
	"errors"
	"sync/atomic"

	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Allowance is the number of bytes that each account holds without a charge to
// the budget.
const Allowance mwunit.Bytes = 16 << 10

// ErrFull is the error for a charge that the budget can't bear, and for each
// charge to an account that was evicted.
var ErrFull = errors.New("mwmemory: the memory for large requests is used up")

// Budget bounds the sum of what accounts hold beyond their allowance. A single
// account may exceed the limit while no other one holds anything beyond its
// allowance, so that each request that is within its own limits can be served.
type Budget struct {
	limit   mwunit.Bytes // 0 means unlimited
	held    atomic.Int64 // bytes charged by all accounts beyond their allowances
	holders *mwshard.Map[accountID, *Account]
	lastID  atomic.Uint64

	refused, evicted atomic.Uint64
}

// accountID identifies an account of a budget.
type accountID uint64

// NewBudget returns a Budget of limit bytes. A limit of 0 means unlimited.
func NewBudget(limit mwunit.Bytes) *Budget {
	return &Budget{limit: limit, holders: mwshard.New[accountID, *Account](mwshard.DefaultShards)}
}

// Stats are the present state of a Budget and its counts since its creation.
type Stats struct {
	Held    mwunit.Bytes // held by all accounts beyond their allowances
	Holders int          // accounts that hold more than their allowance
	Refused uint64       // charges refused
	Evicted uint64       // accounts evicted
}

// Stats returns the statistics of b.
func (b *Budget) Stats() Stats {
	return Stats{
		Held: mwunit.Bytes(b.held.Load()), Holders: b.holders.Len(),
		Refused: b.refused.Load(), Evicted: b.evicted.Load(),
	}
}

// Open returns a new account. The budget calls evict, which must not block, in
// order to end what the account holds memory for. The owner must call Close.
func (b *Budget) Open(evict func()) *Account {
	return &Account{b: b, id: accountID(b.lastID.Add(1)), evict: evict}
}

// reserve charges n bytes to b for an account that has charged own bytes so far.
// It reports whether they are within the limit.
func (b *Budget) reserve(n, own mwunit.Bytes) bool {
	for {
		held := b.held.Load()
		if b.limit > 0 && held+int64(n) > int64(b.limit) && held > int64(own) {
			return false
		}
		if b.held.CompareAndSwap(held, held+int64(n)) {
			return true
		}
	}
}

// makeRoom evicts the account that holds the most, for an account that would hold
// share bytes beyond its allowance. It returns false if that account would itself
// hold more than the average, or than every account that can be evicted.
func (b *Budget) makeRoom(share mwunit.Bytes) bool {
	if n := b.holders.Len(); n > 0 && int64(share) > b.held.Load()/int64(n) {
		return false
	}
	for {
		var largest *Account
		most := share
		b.holders.Range(func(_ accountID, a *Account) bool {
			if s := a.evictable(); s > most {
				largest, most = a, s
			}
			return true
		})
		if largest == nil {
			return false
		}
		if largest.Evict() {
			return true
		}
	}
}
