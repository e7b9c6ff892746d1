// Package mwbudget implements retry budgets: accounts, which divide one budget
// exactly among concurrent calls, and token buckets and sliding windows, which
// limit retries to a fraction of the ordinary calls.
package mwbudget

import (
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Split decides how much of a balance the next call gets. A negative result
// counts as 0, and one above the balance as the balance.
type Split interface {
	Share(balance mwunit.Attempts) mwunit.Attempts
}

// Half gives half of the balance, rounded up, so that concurrent calls get a
// part as well.
type Half struct{}

// Share returns half of balance, rounded up.
func (Half) Share(balance mwunit.Attempts) mwunit.Attempts { return (balance + 1) / 2 }

// All gives the whole balance: the first of several concurrent calls gets it.
type All struct{}

// Share returns balance.
func (All) Share(balance mwunit.Attempts) mwunit.Attempts { return balance }

// Accounts stores open accounts by key, each with a balance and the value that
// was passed to Open. Each operation is one change under the lock of one shard,
// so under any concurrency the total drawn and not restored never exceeds the
// opening balance. An account exists from Open to Close, so memory is bounded by
// the calls in flight.
type Accounts[K comparable, V any, S Split] struct {
	split S
	m     *mwshard.Map[K, account[V]]
}

type account[V any] struct {
	v       V
	balance mwunit.Attempts
	opened  mwunit.Attempts
}

// NewAccounts returns Accounts without open accounts.
func NewAccounts[K comparable, V any, S Split](split S) *Accounts[K, V, S] {
	return &Accounts[K, V, S]{split: split, m: mwshard.New[K, account[V]](mwshard.DefaultShards)}
}

// Open opens the account k with balance n. It returns false, and changes
// nothing, if k is already open.
func (a *Accounts[K, V, S]) Open(k K, v V, n mwunit.Attempts) bool {
	opened := false
	a.m.Update(k, func(old account[V], ok bool) (account[V], bool) {
		if ok {
			return old, true
		}
		opened = true
		return account[V]{v: v, balance: n, opened: n}, true
	})
	return opened
}

// Draw takes a part of the balance of k for one more call and returns it with
// the account's value; ok is false if k is not open.
func (a *Accounts[K, V, S]) Draw(k K) (v V, drawn mwunit.Attempts, ok bool) {
	a.m.Update(k, func(acc account[V], exists bool) (account[V], bool) {
		if !exists {
			return acc, false
		}
		ok = true
		v = acc.v
		drawn = min(max(a.split.Share(acc.balance), 0), acc.balance)
		acc.balance -= drawn
		return acc, true
	})
	return v, drawn, ok
}

// Restore returns n, the part of its draw that a call did not use, to the
// balance of k. It returns false if k is no longer open; attempts returned
// after Close are lost, never spent twice. The balance never exceeds the
// opening balance.
func (a *Accounts[K, V, S]) Restore(k K, n mwunit.Attempts) bool {
	open := false
	a.m.Update(k, func(acc account[V], exists bool) (account[V], bool) {
		open = exists
		acc.balance = min(acc.balance+max(n, 0), acc.opened)
		return acc, exists
	})
	return open
}

// Close deletes the account k and returns its balance.
func (a *Accounts[K, V, S]) Close(k K) mwunit.Attempts {
	acc, _ := a.m.Delete(k)
	return acc.balance
}

// Len returns the number of open accounts.
func (a *Accounts[K, V, S]) Len() int { return a.m.Len() }
