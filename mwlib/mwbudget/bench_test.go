package mwbudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mustardwheel.example/mwlib/mwbudget"
	"mustardwheel.example/mwlib/mwid"
)

// BenchmarkAccount measures opening an account, drawing from it once, restoring
// the draw and closing the account; run it with -cpu 1,2,4,8.
func BenchmarkAccount(b *testing.B) {
	a := mwbudget.NewAccounts[mwid.AttemptID, int](mwbudget.Half{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		k := mwid.NewAttemptID()
		for pb.Next() {
			a.Open(k, 1, 3)
			_, n, _ := a.Draw(k)
			a.Restore(k, n)
			a.Close(k)
		}
	})
}

// BenchmarkTokens measures Earn over 490 services; run it with -cpu 1,2,4,8.
func BenchmarkTokens(b *testing.B) {
	keys := make([]mwid.ServiceName, 490)
	for i := range keys {
		keys[i] = mwid.ServiceName(fmt.Sprint("service-", i))
	}
	t := mwbudget.NewTokens[mwid.ServiceName]()
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := rand.IntN(len(keys)); pb.Next(); i = (i + 7) % len(keys) {
			t.Earn(keys[i], 0.1, now)
		}
	})
}
