package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwtimer"
)

// checkPeriod is the time between two checks of the settings file, which may
// change without a signal.
const checkPeriod = 2 * time.Second

// watchSettings logs each change of the settings file, at SIGHUP and
// periodically. A change takes effect only at the next start: a node can be
// restarted without losing calls, and the address of a listener can't change
// in any other way. The returned function stops the watch.
func watchSettings(log *slog.Logger, args []string) func() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{log: log, args: args}
	w.modified() // Later changes are relative to the current file.
	var wg sync.WaitGroup
	wg.Go(func() { w.run(ctx, hup) })
	return func() {
		signal.Stop(hup)
		cancel()
		wg.Wait()
	}
}

// watcher logs which settings in the settings file differ from those that it
// read last.
type watcher struct {
	log     *slog.Logger
	args    []string
	modTime time.Time // modTime is the modification time at the last check.
}

func (w *watcher) run(ctx context.Context, hup <-chan os.Signal) {
	t := mwtimer.NewTicker(checkPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			w.log.Info("reload requested")
			w.logChanges()
		case <-t.C:
			if w.modified() {
				w.logChanges()
			}
		}
	}
}

// modified reports whether the file was modified since the last check.
func (w *watcher) modified() bool {
	path, err := mwsetting.FindFile()
	if err != nil || path == "" {
		return false
	}
	i, err := os.Stat(path)
	if err != nil {
		w.log.Warn("settings file not accessible", "Path", path, "Error", err)
		return false
	}
	old := w.modTime
	w.modTime = i.ModTime()
	return !old.IsZero() && !old.Equal(w.modTime)
}

// logChanges reads the file and logs the settings that changed since the last
// successful read.
func (w *watcher) logChanges() {
	args, err := prependFileArgs(nil)
	if err != nil {
		w.log.Error("failed to read settings", "Code", int(mwcode.CodeOf(err)), "Error", err)
		return
	}
	if slices.Equal(args, w.args) {
		w.log.Info("settings unchanged")
		return
	}
	for _, a := range args {
		if !slices.Contains(w.args, a) {
			w.log.Warn("setting takes effect at the next start", "Setting", a)
		}
	}
	w.args = args
}
