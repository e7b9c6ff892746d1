package main

import (
	"fmt"

	"mustardwheel.example/mwbench/internal/mwprofile"
	"mustardwheel.example/mwbench/internal/mwscenario"
	mwprofiles "mustardwheel.example/mwbench/profiles"
)

// listCommand implements the subcommand list.
type listCommand struct{}

// Execute prints the names of scenarios and profiles.
func (*listCommand) Execute([]string) error {
	for _, n := range mwscenario.Scenarios.Names() {
		fmt.Println("scenario", n)
	}
	for _, n := range mwprofile.Names(mwprofiles.Files) {
		fmt.Println("profile", n)
	}
	return nil
}
