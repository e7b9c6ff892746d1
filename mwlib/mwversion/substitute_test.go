package mwversion_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcluster"
)

// syncBuffer is a buffer that many nodes write to.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// count returns how often text was written.
func (s *syncBuffer) count(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Count(s.b.Bytes(), []byte(text))
}

// Substitutes must not cost the source more than a tenth of the calls of the Leaders.
func TestFewSubstitutesInCalm(t *testing.T) {
	const (
		zones                = 6
		callsOfLeader        = 24 // requests for changes of one Leader in a minute
		callsPerSubstitution = 3  // a read and the requests until a report arrives
		limit                = zones * callsOfLeader / 10 / callsPerSubstitution
	)
	for _, n := range []int{4, 15, 22} {
		t.Run(fmt.Sprintf("%d nodes a zone", n), func(t *testing.T) {
			var lines syncBuffer
			log := slog.New(slog.NewJSONHandler(&lines, nil))
			run(t, zones, n, func(cl *cluster) {
				advance(time.Minute)
				got := lines.count(`"Duty":"Substitute"`)
				t.Logf("%d of %d nodes became substitutes", got, zones*n)
				cl.c.Check(got <= limit, qt.IsTrue)
			}, mwcluster.WithLog(log))
		})
	}
}
