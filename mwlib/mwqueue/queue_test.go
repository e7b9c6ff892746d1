package mwqueue_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwqueue"
	"mustardwheel.example/mwlib/mwunit"
)

type (
	entry = mwqueue.Entry[int]
	queue = mwqueue.Queue[int, mwqueue.ByPriority]
)

func newQueue(n mwunit.Slots) *queue { return mwqueue.New[int](mwqueue.ByPriority{}, n) }

func newEntry(p mwcall.Priority, v int) *entry {
	return &entry{Value: v, Key: mwqueue.Key{Priority: p}}
}

// shedAfter is the wait after which entries are shed first.
const shedAfter = time.Second

func byPriority(a, b *entry) int { return cmp.Compare(a.Priority, b.Priority) }

// TestQueueAgainstModel compares a Queue with a plain list under random
// operations.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		q, model, now := newQueue(mwunit.Slots(capacity)), []*entry(nil), time.Now()
		q.SetBounds(mwunit.Slots(capacity), shedAfter)
		remove := func(e *entry) { model = slices.DeleteFunc(model, func(m *entry) bool { return m == e }) }
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "step")) * shedAfter / 4)
				i := mwunit.Importance(rapid.IntRange(0, 2).Draw(t, "importance"))
				e := newEntry(mwcall.NewPriority(i, rapid.Bool().Draw(t, "admitted"), mwid.RootID(rapid.StringMatching("[a-z]").Draw(t, "root"))), 0)
				e.Arrived = now
				model = append(model, e)
				shed := q.Push(e)
				if (shed != nil) != (len(model) > capacity) {
					t.Fatalf("shed %v with %d entries and capacity %d", shed, len(model), capacity)
				}
				lowest := slices.MinFunc(model, byPriority).Priority
				if shed != nil && shed.Priority.Importance() > lowest.Importance() {
					t.Fatalf("shed %v while an entry of lower importance was queued", shed.Priority)
				}
				if shed != nil && shed.Priority > lowest && now.Sub(shed.Arrived) <= shedAfter {
					t.Fatalf("shed %v before its maximum wait while an entry of lower priority was queued", shed.Priority)
				}
				remove(shed)
			},
			"pop": func(t *rapid.T) {
				e := q.Pop()
				if (e != nil) != (len(model) > 0) {
					t.Fatalf("popped %v from a queue with %d entries", e, len(model))
				}
				if e != nil && e.Priority < slices.MaxFunc(model, byPriority).Priority {
					t.Fatalf("popped %v while an entry of higher priority was queued", e.Priority)
				}
				remove(e)
			},
			"remove": func(t *rapid.T) {
				if len(model) == 0 {
					return
				}
				e := rapid.SampledFrom(model).Draw(t, "entry")
				if !q.Remove(e) || q.Remove(e) {
					t.Fatal("an entry was not removed exactly once")
				}
				remove(e)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(model) {
					t.Fatalf("%d entries, want %d", q.Len(), len(model))
				}
				for _, e := range model {
					if q.Threshold() > e.Priority {
						t.Fatalf("threshold %d above queued priority %d", q.Threshold(), e.Priority)
					}
				}
			},
		})
	})
}

func TestEqualPriorities(t *testing.T) {
	tests := []struct {
		name     string
		capacity mwunit.Slots
		want     []int
	}{
		{name: "oldest first", capacity: 4, want: []int{0, 1, 2, 3}},
		{name: "newest first in an overload", capacity: 3, want: []int{3, 2, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := newQueue(test.capacity)
			for i := range 4 {
				q.Push(newEntry(1, i))
			}
			c.Assert(q.Overloaded(), qt.Equals, test.capacity < 4)
			var got []int
			for q.Len() > 1 {
				got = append(got, q.Pop().Value)
			}
			got = append(got, q.Pop().Value)
			c.Assert(got[0], qt.Equals, test.want[0])
			c.Assert(got, qt.HasLen, len(test.want))
			c.Assert(q.Overloaded(), qt.IsFalse)
		})
	}
}

func TestCheck(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name          string
		deadline      time.Time
		wait, service time.Duration
		want          mwqueue.Feasibility
	}{
		{name: "no deadline", service: time.Hour, want: mwqueue.InTime},
		{name: "just in time", deadline: now.Add(3), wait: 1, service: 2, want: mwqueue.InTime},
		{name: "too short", deadline: now.Add(2), wait: 1, service: 2, want: mwqueue.TooShort},
		{name: "passed", deadline: now, want: mwqueue.Passed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, mwqueue.Check(now, test.deadline, test.wait, test.service), qt.Equals, test.want)
		})
	}
}

func BenchmarkPushFull(b *testing.B) {
	q := newQueue(256)
	es := make([]entry, 512)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e := &es[i%len(es)]
		if i < len(es) || !q.Remove(e) {
			e.Priority = mwcall.Priority(i * 2654435761 % 1000)
		}
		q.Push(e)
	}
}
