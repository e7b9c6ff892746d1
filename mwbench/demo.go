package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"

	"mustardwheel.example/mwbench/internal/mwfigure"
	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwbench/internal/mwscenario"
	mwprofiles "mustardwheel.example/mwbench/profiles"
)

// demoCommand implements the subcommand demo.
type demoCommand struct{}

// demoProfile is the profile used by the demo.
const demoProfile mwprofile.Name = "verband"

// demoText explains the figures in the table.
const demoText = `
One caller of the retired interface sends ten times as many requests as all
other callers of that interface together. RestGoodput and RestP99 compare the
requests to other interfaces in this phase with those in the phase before;
LastCallersAnswered is the fraction of requests by the other callers of the
retired interface that were answered.`

// Execute runs the scenario "retired" and prints its figures.
func (*demoCommand) Execute([]string) error {
	p, err := mwprofile.Load(mwprofiles.Files, demoProfile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fs, err := mwscenario.Run(ctx, mwscenario.Plan{
		Names: []mwfigure.ScenarioName{"retired"}, Profile: p, Seeds: 1,
		Log: slog.New(slog.DiscardHandler), Progress: printProgress,
	})
	if err != nil {
		return err
	}
	fmt.Println(demoText)
	return mwfigure.WriteTable(os.Stdout, fs)
}

// printProgress prints s as one line to standard error.
func printProgress(s string) { fmt.Fprintln(os.Stderr, s) }
