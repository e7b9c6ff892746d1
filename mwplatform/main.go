// Command mwplatform serves a stand-in for the platform's store. All data is in
// memory. Requests to its admin path make the store inject faults into calls.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/platform/mwstandin"
)

// settings are the command-line flags.
type settings struct {
	Listen mwid.Address  `long:"listen" env:"MW_PLATFORM_LISTEN" default:"127.0.0.1:7100" description:"address to listen on, IP:port"`
	Delay  time.Duration `long:"delay" env:"MW_PLATFORM_DELAY" default:"0s" description:"delay of each response, such as 5ms"`
}

// shutdownTimeout is the maximum wait for requests in flight during shutdown.
const shutdownTimeout = 2 * time.Second

func main() {
	var set settings
	if _, err := flags.Parse(&set); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	if err := run(set, log); err != nil {
		log.Error("ended", "Error", err)
		os.Exit(1)
	}
}

// run serves until the process receives SIGINT or SIGTERM.
func run(set settings, log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	store := mwstandin.NewStore(mwstandin.WithFault(func(*http.Request) mwstandin.Fault {
		return mwstandin.Fault{Delay: set.Delay}
	}))
	l, err := net.Listen("tcp", string(set.Listen))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: store, ReadHeaderTimeout: shutdownTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = srv.Shutdown(shutdownCtx) // Requests that take longer end with the process.
	}()
	log.Info("serving", "Address", l.Addr().String())
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	<-done
	return nil
}
