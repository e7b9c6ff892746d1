// Command mwbench runs load scenarios against real nodes on loopback and reports
// their figures. Most scenarios compare two arms: nodes that use mustardwheel's
// decisions, and nodes that act as plain relays.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	// Registers the scenarios.
	_ "mustardwheel.example/mwbench/internal/mwexperiment"
)

// Exit codes.
const (
	exitOK           = 0
	exitError        = 1
	exitUsage        = 2
	exitTargetMissed = 3
)

// errTargetMissed is returned by run --check if a figure misses its target.
var errTargetMissed = errors.New("a figure misses its target")

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	p := flags.NewNamedParser("mwbench", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitError
		}
	}
	_, err := p.ParseArgs(args)
	return exitCode(err)
}

// exitCode prints err and returns the exit code for it.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var e *flags.Error
	if errors.As(err, &e) {
		if e.Type == flags.ErrHelp {
			fmt.Println(e.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, e.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "mwbench:", err)
	if errors.Is(err, errTargetMissed) {
		return exitTargetMissed
	}
	return exitError
}

// command is a subcommand.
type command struct {
	name, short, long string
	data              flags.Commander
}

var commands = []command{
	{"demo", "show an overloaded retired interface with and without mustardwheel",
		"Runs the scenario retired once and prints a table of its figures.", &demoCommand{}},
	{"run", "run scenarios", "Runs scenarios with both arms and prints their figures.", &runCommand{}},
	{"list", "list scenarios and profiles", "Lists the names of scenarios and profiles.", &listCommand{}},
}
