// Package mwmemstore holds a stand-in for the platform's store that keeps
// everything in memory and fails as it is told to.
package mwmemstore

import (
	"context"
	"slices"
	"strings"
	"sync"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwstore"
)

// Store is an mwstore.Store in memory. Each operation asks the Fault, before
// it takes effect and outside the lock, what should go wrong.
type Store struct {
	mu      sync.Mutex
	fault   Fault
	keys    []mwstore.Key // keys is sorted.
	rows    map[mwstore.Key]mwstore.Row
	objects map[mwstore.Key][]byte
	rev     mwid.Revision
	counts  Counts
}

// Op is a kind of operation.
type Op int

// Kinds of operations.
const (
	Get Op = iota
	Scan
	Commit
	PutObject
	GetObject
)

// Outcome is what becomes of an operation.
type Outcome int

// Outcomes.
const (
	// Done lets the operation take effect and its answer arrive.
	Done Outcome = iota
	// Away refuses the operation; nothing takes effect.
	Away
	// Lost lets the operation take effect and loses its answer.
	Lost
)

// Fault decides what becomes of one operation on the key or prefix k. It
// may wait, which stands for a slow store.
type Fault func(ctx context.Context, op Op, k mwstore.Key) Outcome

// Counts counts the operations that took effect.
type Counts struct {
	Reads  int
	Writes int
	Rows   int // Rows counts the rows written.
}

// WithFault sets the Fault of a new Store.
func WithFault(f Fault) mwoption.Option[Store] { return func(s *Store) { s.fault = f } }

// New returns an empty Store.
func New(opts ...mwoption.Option[Store]) *Store {
	s := &Store{
		rows:    make(map[mwstore.Key]mwstore.Row),
		objects: make(map[mwstore.Key][]byte),
	}
	mwoption.Apply(s, opts...)
	return s
}

// SetFault replaces the Fault; nil stands for none.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the operations so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// outcome asks the Fault.
func (s *Store) outcome(ctx context.Context, op Op, k mwstore.Key) Outcome {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	if ctx.Err() != nil {
		return Away
	}
	if f == nil {
		return Done
	}
	return f(ctx, op, k)
}

// read runs f where the operation is let through.
func (s *Store) read(ctx context.Context, op Op, k mwstore.Key, f func() error) error {
	if s.outcome(ctx, op, k) != Done {
		return mwcode.New(mwcode.StoreAway)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return f()
}

// Get reads one row.
func (s *Store) Get(ctx context.Context, k mwstore.Key) (mwstore.Row, error) {
	var r mwstore.Row
	err := s.read(ctx, Get, k, func() error {
		var ok bool
		if r, ok = s.rows[k]; !ok {
			return mwcode.New(mwcode.NotFound, mwcode.Field(string(k)))
		}
		return nil
	})
	return r, err
}

// Scan reads up to limit rows whose keys start with prefix and come after
// the key after.
func (s *Store) Scan(ctx context.Context, prefix, after mwstore.Key, limit int) ([]mwstore.Row, error) {
	var out []mwstore.Row
	err := s.read(ctx, Scan, prefix, func() error {
		i, found := slices.BinarySearch(s.keys, max(prefix, after))
		if found && s.keys[i] == after {
			i++
		}
		for ; i < len(s.keys) && len(out) < limit && strings.HasPrefix(string(s.keys[i]), string(prefix)); i++ {
			out = append(out, s.rows[s.keys[i]])
		}
		return nil
	})
	return out, err
}

// Commit runs t.
func (s *Store) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	var k mwstore.Key
	if len(t.Writes) > 0 {
		k = t.Writes[0].Key
	}
	o := s.outcome(ctx, Commit, k)
	if o == Away {
		return mwstore.Receipt{}, mwcode.New(mwcode.StoreAway)
	}
	r, err := s.commit(t)
	if o == Lost {
		return mwstore.Receipt{}, mwcode.New(mwcode.StoreUnknown)
	}
	return r, err
}

func (s *Store) commit(t mwstore.Txn) (mwstore.Receipt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Checks {
		if s.rows[c.Key].Revision != c.Revision {
			return mwstore.Receipt{}, mwcode.New(mwcode.Conflict, mwcode.Field(string(c.Key)))
		}
	}
	s.rev++
	s.counts.Writes++
	s.counts.Rows += len(t.Writes)
	for _, w := range t.Writes {
		s.write(w)
	}
	return mwstore.Receipt{Revision: s.rev}, nil
}

func (s *Store) write(w mwstore.Write) {
	i, found := slices.BinarySearch(s.keys, w.Key)
	if w.Delete {
		if found {
			s.keys = slices.Delete(s.keys, i, i+1)
			delete(s.rows, w.Key)
		}
		return
	}
	if !found {
		s.keys = slices.Insert(s.keys, i, w.Key)
	}
	s.rows[w.Key] = mwstore.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.rev}
}

// PutObject stores v whole under k.
func (s *Store) PutObject(ctx context.Context, k mwstore.Key, v []byte) error {
	o := s.outcome(ctx, PutObject, k)
	if o == Away {
		return mwcode.New(mwcode.StoreAway)
	}
	s.mu.Lock()
	s.objects[k] = slices.Clone(v)
	s.mu.Unlock()
	if o == Lost {
		return mwcode.New(mwcode.StoreUnknown)
	}
	return nil
}

// GetObject returns what was last stored under k.
func (s *Store) GetObject(ctx context.Context, k mwstore.Key) ([]byte, error) {
	var v []byte
	err := s.read(ctx, GetObject, k, func() error {
		var ok bool
		if v, ok = s.objects[k]; !ok {
			return mwcode.New(mwcode.NotFound, mwcode.Field(string(k)))
		}
		return nil
	})
	return v, err
}
