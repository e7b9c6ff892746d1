// Command mwctl is the command-line tool for operators. It reads and changes the
// configuration in the platform's store, queries and drains nodes through their
// admin addresses, and traces requests through the logs of nodes.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"

	"github.com/jessevdk/go-flags"

	"mustardwheel.example/mwlib/mwbuild"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwstore"
	"mustardwheel.example/platform"
)

// Exit codes; docs/OPERATIONS.md has the table.
const (
	exitOK          = 0
	exitFailed      = 1
	exitInput       = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitUnknown     = 5
)

// env is the environment of a command.
type env struct {
	global *global
	ctx    context.Context
	out    io.Writer
	store  mwstore.Store
}

// command is one command of mwctl.
type command interface {
	run(e *env) error
}

// entry is a command with its name and its help texts.
type entry struct {
	name, short, long string
	command           command
}

// commands returns all commands in the order of the help text.
func commands() []entry {
	return []entry{
		{"apply", "apply documents", "Write the documents of files as one change.", &apply{}},
		{"get", "print one document", "Print the document with the given kind and name.", &get{}},
		{"list", "list documents", "List the documents, of one kind or of all.", &list{}},
		{"delete", "delete a document", "Delete the document with the given kind and name.", &remove{}},
		{"diff", "compare files with the stored documents", "Show what apply would change.", &diff{}},
		{"history", "print the audit trail", "Print accepted changes, newest first.", &history{}},
		{"status", "show the versions in force", "Show the version in force in each availability zone, and the nodes from which nothing was received recently.", &status{}},
		{"targets", "list targets", "List the targets that a node knows.", &targets{}},
		{"explain", "explain a decision", "Show which selectors match a call and whether it would be admitted.", &explain{}},
		{"trace", "trace a request through logs", "Print the log lines of all nodes about a request in order, and mark the line that shows the cause of its failure.", &trace{}},
		{"failures", "count failed requests by cause", "Count the failed requests in the logs of all nodes by the cause that trace would mark.", &failures{}},
		{"drain", "drain nodes", "Start to drain nodes: they complete their calls and exit.", &drain{}},
	}
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	g := &global{}
	p := flags.NewNamedParser("mwctl", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operate mustardwheel"
	if _, err := p.AddGroup("Global options", "", g); err != nil {
		return fail(errOut, err)
	}
	all := commands()
	for _, v := range all {
		if _, err := p.AddCommand(v.name, v.short, v.long, v.command); err != nil {
			return fail(errOut, err)
		}
	}
	_, err := p.ParseArgs(args)
	if g.Version {
		fmt.Fprintln(out, mwbuild.String())
		return exitOK
	}
	if help, ok := errors.AsType[*flags.Error](err); ok && help.Type == flags.ErrHelp {
		fmt.Fprintln(out, help.Message)
		return exitOK
	}
	if err != nil {
		return fail(errOut, mwcode.New(mwcode.BadCommand, mwcode.Wrap(err)))
	}
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	store, closeStore := mwadapter.NewStore(g.Store)
	defer closeStore()
	if err := active(all, p).run(&env{global: g, ctx: ctx, out: out, store: store}); err != nil {
		return fail(errOut, err)
	}
	return exitOK
}

// active returns the command that p has parsed.
func active(all []entry, p *flags.Parser) command {
	i := slices.IndexFunc(all, func(e entry) bool { return e.name == p.Active.Name })
	return all[i].command
}

// fail prints err and returns its exit code.
func fail(w io.Writer, err error) int {
	fmt.Fprintln(w, "mwctl:", err)
	c := mwcode.CodeOf(err)
	switch {
	case c == mwcode.Conflict:
		return exitConflict
	case c == mwcode.StoreAway, c == mwcode.StoreSlow, c == mwcode.Unreachable:
		return exitUnavailable
	case c == mwcode.StoreUnknown:
		return exitUnknown
	case c >= mwcode.UnknownPlugin && c < mwcode.Conflict:
		return exitInput
	}
	return exitFailed
}
