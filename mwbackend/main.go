// Command mwbackend runs a simulated backend server, for manual tests of a node.
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
	s, closeServer, err := start(ctx, log, &f)
	if err != nil {
		log.Error("starting the backend server failed", "Error", err)
		return exitFault
	}
	defer closeServer()
	log.Info("serving", "Service", f.Service, "Address", s.Address(), "Node", f.Node)
	<-ctx.Done()
	return drain(log, s, &f)
}

// startRetryPeriod is the time between two attempts to start.
const startRetryPeriod = 200 * time.Millisecond

// start starts the backend server. It retries while the node refuses
// connections, since the two processes of a VM start in any order.
func start(ctx context.Context, log *slog.Logger, f *settings) (*mwfakeserver.Server, func(), error) {
	t := time.NewTicker(startRetryPeriod)
	defer t.Stop()
	for {
		s, closeServer, err := mwfakeserver.New(f.Service, f.Node, f.options()...)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return s, closeServer, err
		}
		log.Info("waiting for the node", "Node", f.Node)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, nil, err
		}
	}
}

// drain announces that s leaves, waits for its calls in flight and returns the
// exit code.
func drain(log *slog.Logger, s *mwfakeserver.Server, f *settings) int {
	ctx, cancel := context.WithTimeout(context.Background(), f.Drain)
	defer cancel()
	if err := s.Drain(ctx); err != nil {
		log.Error("draining the backend server failed", "Error", err)
		return exitFault
	}
	log.Info("drained", "Totals", s.Record().Totals())
	return exitOK
}

// usage returns the exit code after go-flags has printed err or the help text.
func usage(err error) int {
	var e *flags.Error
	if errors.As(err, &e) && e.Type == flags.ErrHelp {
		return exitOK
	}
	return exitUsage
}
