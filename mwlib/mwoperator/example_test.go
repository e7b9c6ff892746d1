package mwoperator_test

import (
	"context"
	"fmt"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwoperator"
)

func Example() {
	ctx := context.Background()
	store, stop := mwfakestore.New()
	defer stop()
	o := mwoperator.New(store)
	edits := []mwoperator.Edit{{Document: mwconfig.Document{
		Kind: mwconfig.KindPolicy, Name: "browsing", Spec: []byte(`{"Importance":10}`),
	}}}
	r, err := o.Apply(ctx, "operation-1", "eva", edits)
	fmt.Println(r.Version, err)
	r, err = o.Apply(ctx, "operation-1", "eva", edits) // Repeats the call, as after a lost reply.
	fmt.Println(r.Version, err)
	_, err = o.Apply(ctx, "operation-2", "ole", edits)
	fmt.Println(err)
	// Output:
	// 1 <nil>
	// 1 <nil>
	// Conflict (4001): Policy/browsing: expected revision 0, found 1
}
