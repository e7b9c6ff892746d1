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

// demoCommand is the verb demo.
type demoCommand struct{}

// demoProfile is the profile that the demo runs with.
const demoProfile mwprofile.Name = "verband"

// demoText says what the table shows.
const demoText = `
One caller of the retired interface sends ten times what it should. RestGoodput
and RestP99 compare the other requests with the time before; LastCallersAnswered
is the part of the other callers of the retired interface that got an answer.`

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

// printProgress writes one line to standard error.
func printProgress(s string) { fmt.Fprintln(os.Stderr, s) }
