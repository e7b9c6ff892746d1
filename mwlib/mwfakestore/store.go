// Package mwfakestore is an in-memory fake of the platform's table and object
// store. Its faults can be changed while it runs.
package mwfakestore

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwoption"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/mwlib/mwunit"
)

// Store is an in-memory mwstore.Store with fault injection.
//
// A transaction may span any rows, so one lock guards all rows; it is never
// held while an answer is delayed. All random choices of faults are drawn from
// one seeded source, so a single client that makes the same calls to Stores
// with the same seed sees the same faults. Delays use timers only, so a Store
// can be used in a testing/synctest bubble.
type Store struct {
	reads  *rate.Limiter
	writes *rate.Limiter
	rows   *rate.Limiter

	mu           sync.Mutex
	table        map[mwstore.Key]version
	keys         []mwstore.Key // keys of table in ascending order
	objects      map[mwstore.Key][]byte
	lastRevision mwid.Revision
	random       *rand.Rand
	faults       Faults
	loseNext     [numKinds]int
	usage        Usage
	lateWrites   map[*time.Timer]struct{}
	closed       bool
}

// version is a row together with the row that it replaced.
type version struct {
	row         mwstore.Row
	deleted     bool
	previous    mwstore.Row
	hadPrevious bool
}

var _ mwstore.Store = (*Store)(nil)

// options are the settings of New.
type options struct {
	seed   uint64
	reads  mwunit.PerSecond
	writes mwunit.PerSecond
	rows   mwunit.PerSecond
	faults Faults
}

// Option configures New.
type Option = mwoption.Option[options]

// WithSeed sets the seed of all random choices.
func WithSeed(n uint64) Option { return func(o *options) { o.seed = n } }

// WithReads limits the reads per second; 0 means no limit.
func WithReads(r mwunit.PerSecond) Option { return func(o *options) { o.reads = r } }

// WithWrites limits the transactions and stored objects per second, taken
// together; 0 means no limit.
func WithWrites(r mwunit.PerSecond) Option { return func(o *options) { o.writes = r } }

// WithRows limits the rows written per second; 0 means no limit.
func WithRows(r mwunit.PerSecond) Option { return func(o *options) { o.rows = r } }

// WithFaults sets the initial faults.
func WithFaults(f Faults) Option { return func(o *options) { o.faults = f } }

// New returns an empty Store. The returned function closes it. Late writes that
// have not taken effect by then never do.
func New(opts ...Option) (*Store, func()) {
	o := options{seed: 1}
	mwoption.Apply(&o, opts...)
	s := &Store{
		reads: limiter(o.reads), writes: limiter(o.writes), rows: limiter(o.rows),
		table: make(map[mwstore.Key]version), objects: make(map[mwstore.Key][]byte),
		random: rand.New(rand.NewPCG(o.seed, o.seed)),
		faults: o.faults, lateWrites: make(map[*time.Timer]struct{}),
	}
	return s, s.close
}

// burstTime sets the burst of the rate limiters: the requests that the full
// rate allows in this time.
const burstTime = 100 * time.Millisecond

// limiter returns a limiter of rate r, or nil if r is 0 or less.
func limiter(r mwunit.PerSecond) *rate.Limiter {
	if r <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(r), max(1, int(float64(r)*burstTime.Seconds())))
}

func allow(l *rate.Limiter, n int) bool { return l == nil || l.AllowN(time.Now(), n) }

func (s *Store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for t := range s.lateWrites {
		t.Stop()
	}
}

// Get reads one row. Under the fault Stale it may return the row in its state
// before its last write.
func (s *Store) Get(ctx context.Context, k mwstore.Key) (mwstore.Row, error) {
	if err := s.startRead(ctx); err != nil {
		return mwstore.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.table[k]
	row, ok := v.row, ok && !v.deleted
	if s.draw(s.faults.Stale) {
		row, ok = v.previous, v.hadPrevious
	}
	if !ok {
		return mwstore.Row{}, mwcode.New(mwcode.NotFound, mwcode.Field(string(k)))
	}
	row.Value = slices.Clone(row.Value)
	return row, nil
}

// Scan reads rows sorted by key. It is never stale.
func (s *Store) Scan(ctx context.Context, prefix, after mwstore.Key, limit int) ([]mwstore.Row, error) {
	if err := s.startRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i, _ := slices.BinarySearch(s.keys, max(prefix, after))
	var rows []mwstore.Row
	for ; i < len(s.keys) && len(rows) < limit; i++ {
		k := s.keys[i]
		if !strings.HasPrefix(string(k), string(prefix)) {
			break
		}
		if v := s.table[k]; k > after && !v.deleted {
			v.row.Value = slices.Clone(v.row.Value)
			rows = append(rows, v.row)
		}
	}
	return rows, nil
}

// Commit executes t.
func (s *Store) Commit(ctx context.Context, t mwstore.Txn) (mwstore.Receipt, error) {
	return s.write(ctx, Commit, len(t.Writes), func() (mwstore.Receipt, error) { return s.apply(t) })
}

// apply applies t. The caller must hold s.mu.
func (s *Store) apply(t mwstore.Txn) (mwstore.Receipt, error) {
	for _, c := range t.Checks {
		v, ok := s.table[c.Key]
		if !ok || v.deleted {
			v.row.Revision = 0
		}
		if v.row.Revision != c.Revision {
			s.usage.Conflicts++
			return mwstore.Receipt{}, mwcode.New(mwcode.Conflict, mwcode.Field(string(c.Key)))
		}
	}
	s.lastRevision++
	for _, w := range t.Writes {
		s.set(w)
	}
	return mwstore.Receipt{Revision: s.lastRevision}, nil
}

func (s *Store) set(w mwstore.Write) {
	old, ok := s.table[w.Key]
	if !ok {
		i, _ := slices.BinarySearch(s.keys, w.Key)
		s.keys = slices.Insert(s.keys, i, w.Key)
	}
	s.table[w.Key] = version{
		row:         mwstore.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.lastRevision},
		deleted:     w.Delete,
		previous:    old.row,
		hadPrevious: ok && !old.deleted,
	}
}

// PutObject stores an object.
func (s *Store) PutObject(ctx context.Context, k mwstore.Key, b []byte) error {
	_, err := s.write(ctx, Put, 0, func() (mwstore.Receipt, error) {
		s.objects[k] = slices.Clone(b)
		return mwstore.Receipt{}, nil
	})
	return err
}

// GetObject returns an object.
func (s *Store) GetObject(ctx context.Context, k mwstore.Key) ([]byte, error) {
	if err := s.startRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.objects[k]
	if !ok {
		return nil, mwcode.New(mwcode.NotFound, mwcode.Field(string(k)))
	}
	return slices.Clone(b), nil
}
