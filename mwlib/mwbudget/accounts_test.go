package mwbudget_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"mustardwheel.example/mwlib/mwbudget"
	"mustardwheel.example/mwlib/mwunit"
)

// greedy is a Split that returns amounts above the balance and below 0.
type greedy struct{}

func (greedy) Share(balance mwunit.Attempts) mwunit.Attempts {
	if balance%2 == 0 {
		return balance + 3
	}
	return -balance
}

func TestSplitIsExact(t *testing.T) {
	t.Run("half", rapid.MakeCheck(splitIsExact(mwbudget.Half{})))
	t.Run("all", rapid.MakeCheck(splitIsExact(mwbudget.All{})))
	t.Run("greedy", rapid.MakeCheck(splitIsExact(greedy{})))
}

// splitIsExact checks, for any order of draws and restores, that the sum of
// what is drawn and what remains never exceeds the opening balance.
func splitIsExact[S mwbudget.Split](split S) func(*rapid.T) {
	return func(t *rapid.T) {
		a := mwbudget.NewAccounts[string, int](split)
		opened := mwunit.Attempts(rapid.IntRange(0, 20).Draw(t, "opened"))
		a.Open("k", 7, opened)
		var out []mwunit.Attempts
		balance, spent := opened, mwunit.Attempts(0)
		t.Repeat(map[string]func(*rapid.T){
			"draw": func(t *rapid.T) {
				v, n, ok := a.Draw("k")
				if !ok || v != 7 || n < 0 || n > balance {
					t.Fatalf("drew %d of %d, ok %v, value %d", n, balance, ok, v)
				}
				balance -= n
				out = append(out, n)
			},
			"restore": func(t *rapid.T) {
				if len(out) == 0 {
					t.Skip("no draw to restore")
				}
				n := out[0]
				out = out[1:]
				used := mwunit.Attempts(rapid.IntRange(0, int(n)).Draw(t, "used"))
				a.Restore("k", n-used)
				balance += n - used
				spent += used
			},
			"open again": func(t *rapid.T) {
				if a.Open("k", 8, 100) {
					t.Fatal("opened an account that is already open")
				}
			},
		})
		if got := a.Close("k"); got != balance {
			t.Fatalf("Close returned %d, want %d", got, balance)
		}
		if a.Restore("k", 5) || a.Len() != 0 {
			t.Fatal("restored to a closed account, or the account still exists")
		}
	}
}

func TestRestoreNeverExceedsOpened(t *testing.T) {
	c := qt.New(t)
	a := mwbudget.NewAccounts[string, int](mwbudget.Half{})
	a.Open("k", 0, 4)
	a.Draw("k")
	a.Restore("k", 100)
	a.Restore("k", -3)
	c.Assert(a.Close("k"), qt.Equals, mwunit.Attempts(4))
}

func TestParallelDrawsAreExact(t *testing.T) {
	c := qt.New(t)
	const workers, opened = 16, 40
	a := mwbudget.NewAccounts[string, int](mwbudget.Half{})
	a.Open("k", 0, opened)
	spent := make([]mwunit.Attempts, workers)
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			for range 100 {
				_, n, _ := a.Draw("k")
				used := n / 3
				spent[i] += used
				a.Restore("k", n-used)
			}
		})
	}
	wg.Wait()
	sum := a.Close("k")
	for _, n := range spent {
		sum += n
	}
	c.Assert(sum, qt.Equals, mwunit.Attempts(opened))
}
