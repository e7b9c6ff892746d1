package mwadmit_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// seedCount is the number of seeds for tests that run a load.
var seedCount = flag.Int("seeds", 1, "number of seeds for tests that run a load")

// seeds returns the number of seeds to range over.
func seeds() uint64 { return uint64(*seedCount) }
