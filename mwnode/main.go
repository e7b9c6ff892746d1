// Command mwnode is the process that runs on the VM of each backend server. It
// holds the data path, which relays calls, and this node's part of the control
// plane, which is distributed over all nodes.
package main

import "C" // The users' platform requires programs linked to the C library.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"

	"github.com/jessevdk/go-flags"

	"mustardwheel.example/mwlib/mwbuild"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwhost"
	"mustardwheel.example/mwlib/mwlog"
	"mustardwheel.example/mwlib/mwsetting"
	_ "mustardwheel.example/mwlib/mwstandard" // Registers the plug-ins.
	"mustardwheel.example/mwlib/mwunit"
	_ "mustardwheel.example/platform" // Registers the adapter to the users' platform.
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Limits of the heap.
const (
	// gcPercent is the growth of the heap between two collections in percent.
	// The live heap is a few megabytes, and VMs are billed for peaks of memory.
	gcPercent = 50
	// memoryShare is the part of the process's memory at which collections
	// become more frequent. The rest is for buffers of the kernel and for peaks
	// between two collections.
	memoryShare = 0.55
)

// limitHeap sets when the heap is collected. memory is the memory of the
// process, 0 if unknown.
func limitHeap(memory mwunit.Bytes) {
	debug.SetGCPercent(gcPercent)
	if memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memory)))
	}
}

// arguments are the settings of a node and the flags that only this program has.
type arguments struct {
	mwsetting.Node
	Version       bool `long:"version" description:"print the version and exit"`
	PrintSettings bool `long:"print-settings" description:"print the settings in use and exit"`
	Debug         bool `long:"debug" env:"MW_DEBUG" description:"log at debug level"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the node for command line args and returns the exit code.
func run(args []string) int {
	var a arguments
	p := flags.NewNamedParser("mwnode", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Node", "", &a); err != nil {
		return report(err)
	}
	fromFile, err := prependFileArgs(nil)
	if err != nil {
		return report(err)
	}
	_, err = p.ParseArgs(append(slices.Clone(fromFile), args...))
	if a.Version {
		fmt.Println(mwbuild.String())
		return exitOK
	}
	if help, ok := errors.AsType[*flags.Error](err); ok && help.Type == flags.ErrHelp {
		fmt.Println(help.Message)
		return exitOK
	}
	if err != nil {
		return report(mwcode.New(mwcode.BadSetting, mwcode.Wrap(err)))
	}
	if err := a.Check(); err != nil {
		return report(err)
	}
	if a.PrintSettings {
		fmt.Print(mwsetting.Print(p))
		return exitOK
	}
	return serve(&a, fromFile)
}

// prependFileArgs returns the settings of the settings file, followed by args. It
// returns args alone if the platform provides no such file.
func prependFileArgs(args []string) ([]string, error) {
	path, err := mwsetting.FindFile()
	if err != nil || path == "" {
		return args, err
	}
	fromFile, err := mwsetting.FileArgs(path)
	return append(fromFile, args...), err
}

// report prints err, which has a line for each faulty setting, and returns
// exitSettings.
func report(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitSettings
}

// serve runs the node until a signal or an operator requests a drain.
func serve(a *arguments, fromFile []string) int {
	level := slog.LevelInfo
	if a.Debug {
		level = slog.LevelDebug
	}
	limitHeap(a.Place.Memory * mwunit.MB)
	w, endLog := mwlog.New(os.Stdout)
	defer endLog()
	log := mwlog.NewLogger(w, level)
	h, stopNode, err := mwhost.New(&a.Node, mwhost.WithLog(log))
	if err != nil {
		log.Error("node failed to start", "Code", int(mwcode.CodeOf(err)), "Error", err.Error())
		return exitFailed
	}
	defer stopNode()
	log.Info("started", "Node", h.Kernel().Self().Node, "Entry", h.Entry(), "Local", h.Local(),
		"Peer", h.Peer(), "Admin", h.Admin(), "Version", mwbuild.String())
	defer watchSettings(log, fromFile)()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
	case <-h.DrainRequested():
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Relay.DrainTime())
	defer cancel()
	if err := h.Drain(ctx); err != nil {
		log.Error("drain incomplete; calls in flight were closed", "Error", err.Error())
		return exitFailed
	}
	log.Info("ended")
	return exitOK
}
