package mwtestbed

import (
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwlib/mwsetting"
)

// gossipPeriod is shorter than a node's own default, so that a Bed is ready
// sooner.
const gossipPeriod = 100 * time.Millisecond

// anyPort is a loopback address with a port chosen by the system.
const anyPort = "127.0.0.1:0"

// settings returns the settings of a node in z: the defaults of the node's
// command line, on loopback.
func (b *Bed) settings(z mwprofile.Zone) (*mwsetting.Node, error) {
	set := &mwsetting.Node{}
	_, err := flags.NewParser(set, flags.None).ParseArgs([]string{
		"--zone=" + string(z.Zone), "--region=" + string(z.Region),
		"--entry=" + anyPort, "--local=" + anyPort, "--peer=" + anyPort, "--admin=" + anyPort,
	})
	if err != nil {
		return nil, fmt.Errorf("testbed: %w", err)
	}
	set.Member.Join = b.join
	set.Member.Period = gossipPeriod
	if b.spec.Tune != nil {
		b.spec.Tune(set)
	}
	return set, nil
}

// Baseline configures set as a plain relay: two-choice routing, retries at each
// hop, no limits.
func Baseline(set *mwsetting.Node) {
	set.Plugins.Admission = "none"
	set.Plugins.Router = "random"
	set.Plugins.Retry = "perhop"
}
