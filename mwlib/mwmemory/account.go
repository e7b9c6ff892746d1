package mwmemory

import (
	"context"
	"sync"

	"mustardwheel.example/mwlib/mwunit"
)

// Account counts the memory that one connection holds. It is safe for concurrent
// use. A nil Account has no limit and counts nothing.
type Account struct {
	b     *Budget
	id    accountID
	evict func()

	mu      sync.Mutex
	used    mwunit.Bytes
	shared  mwunit.Bytes // part of used beyond the allowance, charged to b
	pinned  bool         // whether the account can't be evicted
	evicted bool
	closed  bool
}

// Charge adds n bytes to what a holds. If the budget is used up, it evicts another
// account that holds more, or returns ErrFull if there is none.
func (a *Account) Charge(n mwunit.Bytes) error {
	if a == nil {
		return nil
	}
	for {
		share, err := a.tryCharge(n)
		if err == nil {
			return nil
		}
		if share == 0 || !a.b.makeRoom(share) {
			a.b.refused.Add(1)
			return err
		}
	}
}

// tryCharge charges n bytes without evicting another account. If that fails, it
// returns what a would hold beyond its allowance, or 0 if a was evicted or closed.
func (a *Account) tryCharge(n mwunit.Bytes) (share mwunit.Bytes, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.evicted || a.closed {
		return 0, ErrFull
	}
	share = max(a.used+n-Allowance, 0)
	if d := share - a.shared; d > 0 && !a.b.reserve(d, a.shared) {
		return share, ErrFull
	}
	a.used += n
	a.setShared(share)
	return share, nil
}

// Add adds n bytes to what a holds, whether or not the budget bears them. It is
// for memory without which a request that has run could not be answered.
func (a *Account) Add(n mwunit.Bytes) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(a.used + n)
}

// Reset sets what a holds to n bytes, whether or not the budget bears them.
func (a *Account) Reset(n mwunit.Bytes) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(n)
}

// set sets used to n and charges the difference to the budget. The caller must
// hold a.mu.
func (a *Account) set(n mwunit.Bytes) {
	if a.evicted || a.closed {
		return
	}
	share := max(n-Allowance, 0)
	a.b.held.Add(int64(share - a.shared))
	a.used = n
	a.setShared(share)
}

// setShared sets shared, and enters a into the budget's list of accounts beyond
// their allowance or removes it. The caller must hold a.mu.
func (a *Account) setShared(share mwunit.Bytes) {
	switch {
	case a.shared == 0 && share > 0:
		a.b.holders.Set(a.id, a)
	case a.shared > 0 && share == 0:
		a.b.holders.Delete(a.id)
	}
	a.shared = share
}

// Pin protects a from eviction: what it holds memory for must be completed. It
// returns false if a was evicted already.
func (a *Account) Pin() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pinned = true
	return !a.evicted
}

// Unpin ends the protection of Pin.
func (a *Account) Unpin() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pinned = false
}

// Evict ends what a holds memory for. The memory counts as free at once, since
// nothing refers to it as soon as the goroutines of the connection notice. Evict
// returns false if a is pinned or was evicted before.
func (a *Account) Evict() bool {
	if !a.markEvicted() {
		return false
	}
	a.b.evicted.Add(1)
	a.evict()
	return true
}

func (a *Account) markEvicted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pinned || a.evicted || a.closed {
		return false
	}
	a.set(0)
	a.evicted = true
	return true
}

// evictable returns what a holds beyond its allowance, or 0 if it can't be evicted.
func (a *Account) evictable() mwunit.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pinned || a.evicted {
		return 0
	}
	return a.shared
}

// Evicted reports whether a was evicted.
func (a *Account) Evicted() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evicted
}

// Close frees what a holds and ends its use.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(0)
	a.closed = true
}

// contextKey is the key of an Account in a context.
type contextKey struct{}

// NewContext returns a copy of ctx that holds a.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account in ctx, or nil if there is none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}
