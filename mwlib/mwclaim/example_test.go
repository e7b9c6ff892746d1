package mwclaim_test

import (
	"context"
	"fmt"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwclaim"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
)

func Example() {
	ctx := context.Background()
	store, stop := mwfakestore.New()
	defer stop()
	ledger, stopLedger, err := mwclaim.New(store)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stopLedger()
	for _, first := range []bool{true, false} {
		claim, err := ledger.Claim(ctx, &mwcall.Call{
			Attempt: mwid.NewAttemptID(), Caller: "shop", Key: "order 17",
			Service: "auftrag", Method: "POST", Path: "/orders", First: first,
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		if answer, ok := claim.StoredAnswer(); ok {
			fmt.Printf("kept: %s\n", answer)
			continue
		}
		if err := claim.Begin(); err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println("run the call")
		if err := claim.Finish(ctx, mwcall.EncodedAnswer("accepted")); err != nil {
			fmt.Println(err)
		}
	}
	// Output:
	// run the call
	// kept: accepted
}
