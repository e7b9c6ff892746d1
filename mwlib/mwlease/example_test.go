package mwlease_test

import (
	"context"
	"fmt"

	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwlease"
	"mustardwheel.example/mwlib/mwstore"
)

func Example() {
	ctx := context.Background()
	store, stop := mwfakestore.New()
	defer stop()
	lease, release, err := mwlease.Acquire(ctx, store, "Lease/sweeper")
	if err != nil {
		fmt.Println(err)
		return
	}
	// Writes that must not happen after the lease expired include the fence.
	_, err = store.Commit(ctx, mwstore.Txn{
		Checks: []mwstore.Check{lease.Fence()},
		Writes: []mwstore.Write{{Key: "Swept", Value: []byte("today")}},
	})
	fmt.Println(lease.Held(), err)
	release()
	fmt.Println(lease.Held())
	// Output:
	// <nil> <nil>
	// LeaseLost (4008)
}
