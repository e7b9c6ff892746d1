package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"

	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwbench/internal/mwscenario"
	mwprofiles "mustardwheel.example/mwbench/profiles"
)

// runCommand implements the subcommand run.
type runCommand struct {
	Profile mwprofile.Name `long:"profile" env:"MW_BENCH_PROFILE" default:"verband" description:"profile of the simulated system; mwbench list prints the names"`
	Seeds   int            `long:"seeds" env:"MW_BENCH_SEEDS" default:"1" description:"number of runs of each arm, each with its own seed"`
	Short   bool           `long:"short" env:"MW_BENCH_SHORT" description:"use short phases; one seed of all scenarios takes about 50 s"`
	Output  string         `long:"output" env:"MW_BENCH_OUTPUT" default:"table" choice:"table" choice:"json" description:"format of the figures"`
	Check   bool           `long:"check" env:"MW_BENCH_CHECK" description:"exit with code 3 if a figure misses its target"`
	Verbose bool           `long:"verbose" env:"MW_BENCH_VERBOSE" description:"print the logs of the nodes to standard error, as JSON lines"`
	Args    struct {
		Scenarios []mwfigure.ScenarioName `positional-arg-name:"SCENARIO" description:"names of the scenarios to run; all by default"`
	} `positional-args:"yes"`
}

// Execute runs the scenarios and prints their figures.
func (r *runCommand) Execute([]string) error {
	p, err := mwprofile.Load(mwprofiles.Files, r.Profile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fs, err := mwscenario.Run(ctx, mwscenario.Plan{
		Names: r.names(), Profile: p, Seeds: max(r.Seeds, 1), Short: r.Short,
		Log: r.log(), Progress: printProgress,
	})
	// Figures measured before an error are printed as well.
	if werr := r.write(os.Stdout, fs); werr != nil {
		return werr
	}
	if err != nil {
		return err
	}
	if n := len(mwfigure.Missed(fs)); r.Check && n > 0 {
		return fmt.Errorf("%d of %d: %w", n, len(fs), errTargetMissed)
	}
	return nil
}

// names returns the scenarios named on the command line, or all if none is.
func (r *runCommand) names() []mwfigure.ScenarioName {
	if len(r.Args.Scenarios) > 0 {
		return r.Args.Scenarios
	}
	var out []mwfigure.ScenarioName
	for _, n := range mwscenario.Scenarios.Names() {
		out = append(out, mwfigure.ScenarioName(n))
	}
	return out
}

func (r *runCommand) log() *slog.Logger {
	if r.Verbose {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.DiscardHandler)
}

func (r *runCommand) write(w io.Writer, fs []mwfigure.Figure) error {
	if r.Output == "json" {
		return mwfigure.WriteJSON(w, fs)
	}
	return mwfigure.WriteTable(w, fs)
}
