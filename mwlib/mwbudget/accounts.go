// Package mwbudget holds retry budgets: accounts that split one budget
// exactly over calls that run at the same time, and token buckets that keep
// retries a bounded part of the ordinary calls.
package mwbudget

import (
	"mustardwheel.example/mwlib/mwshard"
	"mustardwheel.example/mwlib/mwunit"
)

// Split decides how much of a balance one more call gets. The result is
// taken as 0 where it is negative, and as the balance where it is greater.
type Split interface {
	Of(balance mwunit.Attempts) mwunit.Attempts
}

// Half gives half of what is left, rounded up: something stays for calls
// beside this one.
type Half struct{}

// Of returns half of balance, rounded up.
func (Half) Of(balance mwunit.Attempts) mwunit.Attempts { return (balance + 1) / 2 }

// All gives all that is left: the first of several parallel calls gets it.
type All struct{}

// Of returns balance.
func (All) Of(balance mwunit.Attempts) mwunit.Attempts { return balance }

// Accounts holds open accounts by key, each with a balance and a value of the
// owner. Whatever calls do at the same time, the sum of what is drawn and not
// restored never exceeds what was opened: each step is one change under the
// lock of one shard. An account lives from Open to Close, so the memory is
// bounded by the calls in flight.
type Accounts[K comparable, V any, S Split] struct {
	split S
	m     *mwshard.Map[K, account[V]]
}

type account[V any] struct {
	v       V
	balance mwunit.Attempts
	opened  mwunit.Attempts
}

// NewAccounts returns Accounts without an account.
func NewAccounts[K comparable, V any, S Split](split S) *Accounts[K, V, S] {
	return &Accounts[K, V, S]{split: split, m: mwshard.New[K, account[V]](mwshard.DefaultShards)}
}

// Open opens the account k with n. It returns false, and changes nothing,
// where k is open.
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

// Draw takes a part of the balance for one more call; ok is false where k is
// not open.
func (a *Accounts[K, V, S]) Draw(k K) (v V, drawn mwunit.Attempts, ok bool) {
	a.m.Update(k, func(acc account[V], there bool) (account[V], bool) {
		if !there {
			return acc, false
		}
		ok = true
		v = acc.v
		drawn = min(max(a.split.Of(acc.balance), 0), acc.balance)
		acc.balance -= drawn
		return acc, true
	})
	return v, drawn, ok
}

// Restore gives back what a call did not use of what it drew. It returns
// false where k is not open any more; what comes back later is lost, never
// spent twice. The balance never grows beyond what was opened.
func (a *Accounts[K, V, S]) Restore(k K, n mwunit.Attempts) bool {
	open := false
	a.m.Update(k, func(acc account[V], there bool) (account[V], bool) {
		open = there
		acc.balance = min(acc.balance+max(n, 0), acc.opened)
		return acc, there
	})
	return open
}

// Close ends the account k and returns its balance.
func (a *Accounts[K, V, S]) Close(k K) mwunit.Attempts {
	acc, _ := a.m.Delete(k)
	return acc.balance
}

// Len returns the number of open accounts.
func (a *Accounts[K, V, S]) Len() int { return a.m.Len() }
