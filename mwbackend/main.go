// Command mwbackend runs a stand-in backend server, for trying a node by
// hand.
package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"mustardwheel.example/mwlib/mwfakeserver"
)

// Exit codes.
const (
	exitOK    = 0
	exitFault = 1
	exitUsage = 2
)

func main() { os.Exit(run()) }

func run() int {
	var f settings
	if _, err := flags.Parse(&f); err != nil {
		return usage(err)
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, end, err := start(ctx, log, &f)
	if err != nil {
		log.Error("failed to start", "Error", err)
		return exitFault
	}
	defer end()
	log.Info("serving", "Service", f.Service, "Address", s.Address(), "Node", f.Node)
	<-ctx.Done()
	return drain(log, s, &f)
}

// startPeriod is the time between two tries to start.
const startPeriod = 200 * time.Millisecond

// start starts the backend server, again while its node does not listen yet:
// the two processes of a VM start in any order.
func start(ctx context.Context, log *slog.Logger, f *settings) (*mwfakeserver.Server, func(), error) {
	t := time.NewTicker(startPeriod)
	defer t.Stop()
	for {
		s, end, err := mwfakeserver.New(f.Service, f.Node, f.options()...)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return s, end, err
		}
		log.Info("waiting for the node", "Node", f.Node)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, nil, err
		}
	}
}

// drain ends s once its calls are done.
func drain(log *slog.Logger, s *mwfakeserver.Server, f *settings) int {
	ctx, cancel := context.WithTimeout(context.Background(), f.Drain)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		log.Error("failed to drain", "Error", err)
		return exitFault
	}
	log.Info("drained", "Totals", s.Record().Totals())
	return exitOK
}

// usage returns the exit code for a command line that go-flags has answered.
func usage(err error) int {
	var e *flags.Error
	if errors.As(err, &e) && e.Type == flags.ErrHelp {
		return exitOK
	}
	return exitUsage
}
