// Command standin2 plays the cases of REPORT-2.md: it starts nodes as processes,
// with stand-ins for the platform's store, application targets and clients, and
// checks one rule by what those saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxTime bounds one run.
const maxTime = 110 * time.Second

var (
	root    string // root of the checkout
	scratch string // folder for settings and logs
	trouble = os.Getenv("TROUBLE") != "0"

	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()

	nodesMu sync.Mutex
	nodes   []*node
)

// record writes one line to record.txt, with the time since the start.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// cases are the cases by name. Each returns a line for each break of its rule.
var cases = map[string]func() []string{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		os.Exit(exitCannotRun)
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitCannotRun)
	}
	root = os.Args[2]
	var err error
	if recordFile, err = os.Create(filepath.Join(os.Args[3], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	if scratch, err = os.MkdirTemp("", "standin2-"); err != nil {
		cannotRun("folder: %v", err)
	}
	// A node ends with the thread that started it, which must not be one that the
	// runtime ends.
	runtime.LockOSThread()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() { cannotRun("%v", <-stop) }()
	time.AfterFunc(maxTime, func() { cannotRun("no result after %v", maxTime) })
	record("case %s, trouble %v", os.Args[1], trouble)
	broken := f()
	for _, b := range broken {
		record("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		end(exitBroken)
	}
	record("the rule held")
	fmt.Println("the rule held")
	end(exitHeld)
}

// launch starts a node that is killed at the end of the run.
func launch(p place) *node {
	n := newNode(p)
	nodesMu.Lock()
	nodes = append(nodes, n)
	nodesMu.Unlock()
	n.start()
	return n
}

// end ends all processes and exits with code.
func end(code int) {
	nodesMu.Lock()
	for _, n := range nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(scratch)
	} else {
		fmt.Println("logs:", scratch)
	}
	os.Exit(code)
}

// cannotRun ends the run without a result.
func cannotRun(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	record("cannot run: %s", s)
	fmt.Fprintln(os.Stderr, "cannot run:", s)
	end(exitCannotRun)
}
