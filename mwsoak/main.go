// Command mwsoak runs real nodes on this machine under seeded plans of faults
// and checks the guarantees of the system. It prints one JSON line for each
// seed and exits with 1 if a guarantee was broken.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"mustardwheel.example/mwsoak/internal/mwcheck"
	"mustardwheel.example/mwsoak/internal/mwplan"
	"mustardwheel.example/mwsoak/internal/mwscene"
)

// Exit codes.
const (
	exitOK        = 0
	exitViolation = 1
	exitFailed    = 2
)

// Bounds of --nodes.
const (
	// minNodes is the minimum at which each service has a backend server.
	minNodes = 3
	// maxNodes limits a run to a few hundred processes.
	maxNodes = 200
)

// settings are the command-line flags.
type settings struct {
	Program string          `long:"program" env:"MW_SOAK_PROGRAM" default:"target/mwnode" description:"path of the mwnode binary"`
	First   uint64          `long:"first" env:"MW_SOAK_FIRST" description:"first seed; 0 means the current Unix time"`
	Seeds   int             `long:"seeds" env:"MW_SOAK_SEEDS" default:"10" description:"number of seeds"`
	Nodes   int             `long:"nodes" env:"MW_SOAK_NODES" default:"4" description:"number of nodes in a run, 3 to 200"`
	Length  time.Duration   `long:"length" env:"MW_SOAK_LENGTH" default:"12s" description:"duration of the load of a run, at least 4s"`
	Jobs    int             `long:"jobs" env:"MW_SOAK_JOBS" default:"2" description:"maximum number of concurrent runs"`
	Logs    string          `long:"logs" env:"MW_SOAK_LOGS" description:"directory for the logs of the nodes; if empty, they are discarded"`
	Kinds   []mwplan.Kind   `long:"kind" env:"MW_SOAK_KINDS" env-delim:"," description:"kind of fault; may be repeated; all kinds by default"`
	Plant   mwcheck.Promise `long:"plant" env:"MW_SOAK_PLANT" description:"guarantee to break on purpose: Once, Refusal, Whole, Drain, Forward or Current"`
	Drain   time.Duration   `long:"drain" env:"MW_SOAK_DRAIN" default:"2500ms" description:"maximum time for which a leaving backend server may get requests; 0 disables the check"`
	Contact time.Duration   `long:"contact" env:"MW_SOAK_CONTACT" default:"3s" description:"time without faults after which the limit of --drain is checked"`
	Apply   time.Duration   `long:"apply" env:"MW_SOAK_APPLY" default:"2500ms" description:"maximum time until a change of the configuration is in force at all nodes; 0 disables the check"`
	Settle  time.Duration   `long:"settle" env:"MW_SOAK_SETTLE" default:"5s" description:"time without faults after which the limit of --apply is checked"`
}

func (s *settings) check() error {
	switch {
	case s.Nodes < minNodes || s.Nodes > maxNodes:
		return fmt.Errorf("--nodes=%d: expected %d to %d", s.Nodes, minNodes, maxNodes)
	case s.Length < 4*time.Second:
		return fmt.Errorf("--length=%v: expected at least 4s", s.Length)
	case s.Seeds < 1 || s.Jobs < 1:
		return errors.New("--seeds and --jobs: expected at least 1")
	}
	return nil
}

func main() { os.Exit(run()) }

func run() int {
	var set settings
	if _, err := flags.Parse(&set); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitFailed
	}
	if err := set.check(); err != nil {
		fmt.Fprintln(os.Stderr, "mwsoak:", err)
		return exitFailed
	}
	if set.First == 0 {
		set.First = uint64(time.Now().Unix())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken, err := soak(ctx, set)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "mwsoak:", err)
		return exitFailed
	case broken > 0:
		return exitViolation
	}
	return exitOK
}

// soak runs all seeds and returns the number of seeds with violations.
func soak(ctx context.Context, set settings) (int, error) {
	kinds := set.Kinds
	if len(kinds) == 0 {
		kinds = mwscene.Kinds()
	}
	var mu sync.Mutex
	broken, out := 0, json.NewEncoder(os.Stdout)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(set.Jobs)
	for i := range set.Seeds {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r, err := mwscene.Run(ctx, mwscene.Config{
				Plan:    mwplan.New(mwplan.Seed(set.First+uint64(i)), kinds, set.Nodes, mwscene.Links, set.Length),
				Program: set.Program, Logs: set.Logs, Plant: set.Plant,
				Bounds: mwcheck.Bounds{Drain: set.Drain, Contact: set.Contact, Apply: set.Apply, Settle: set.Settle},
			})
			if err != nil {
				return fmt.Errorf("seed %d: %w", set.First+uint64(i), err)
			}
			mu.Lock()
			defer mu.Unlock()
			if len(r.Violations) > 0 {
				broken++
			}
			return out.Encode(r)
		})
	}
	err := g.Wait()
	return broken, err
}
