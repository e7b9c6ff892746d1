package main_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/platform"
)

// TestSettingsFileChanges reloads the settings file of a running node unchanged,
// with a new setting and with an invalid one. The node logs each result and
// keeps its settings.
func TestSettingsFileChanges(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "node.ini")
	write := func(text string) { c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil) }
	text := fmt.Sprintf("[Place]\nzone = wien-a\nregion = wien\n[Listeners]\nentry = %s\nlocal = %s\npeer = %s\nadmin = %s\n",
		freePort(c), freePort(c), freePort(c), freePort(c))
	write(text)
	c.Setenv(mwadapter.SettingsVariable, path)
	p := start(c, "mwnode")
	logged := func(s string) {
		c.Helper()
		eventually(c, s, func() bool { return strings.Contains(p.log.String(), s) })
	}
	logged(`"msg":"started"`)
	p.signal(syscall.SIGHUP)
	logged("settings unchanged")
	write(text + "[Relay]\nrelay.drain = 7s\n")
	logged("--relay.drain=7s")
	write("[Relay]\nrelay.planet = x\n")
	p.signal(syscall.SIGHUP)
	logged("failed to read settings")
	p.signal(syscall.SIGTERM)
	<-p.done
	c.Assert(p.cmd.ProcessState.ExitCode(), qt.Equals, 0)
}
