package mwsetting_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwsetting"
)

// settingsPage is the documentation page that contains the table of settings.
const settingsPage = "../../docs/SETTINGS.md"

// tableHead is the header of the table of settings. The page must end with the
// table.
const tableHead = "| Flag | Environment | Default | Meaning |\n|---|---|---|---|\n"

func TestPageHasTheTable(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile(settingsPage)
	c.Assert(err, qt.IsNil)
	var want strings.Builder
	for _, e := range mwsetting.Table() {
		fmt.Fprintf(&want, "| `%s` | `%s` | %s | %s |\n", e.Flag, e.Env, e.Default, e.Description)
	}
	text, table, ok := strings.Cut(string(b), tableHead)
	c.Assert(ok, qt.IsTrue)
	if os.Getenv("UPDATE") != "" {
		c.Assert(os.WriteFile(settingsPage, []byte(text+tableHead+want.String()), 0o644), qt.IsNil)
		return
	}
	c.Assert(table, qt.Equals, want.String(), qt.Commentf("docs/SETTINGS.md differs from mwsetting.Table; run with UPDATE=1"))
}

func TestEverySettingHasAnEnvironmentVariable(t *testing.T) {
	c := qt.New(t)
	for _, e := range mwsetting.Table() {
		c.Check(e.Env, qt.Matches, `MW_[A-Z_]+`, qt.Commentf("%s", e.Flag))
		c.Check(e.Description, qt.Not(qt.Equals), "", qt.Commentf("%s", e.Flag))
	}
}

func TestDefaultsAreGood(t *testing.T) {
	c := qt.New(t)
	c.Assert(mwsetting.Default().Check(), qt.IsNil)
}

func TestCheckNamesEveryFault(t *testing.T) {
	tests := []struct {
		name   string
		change func(*mwsetting.Node)
		flag   string
	}{
		{"no zone", func(n *mwsetting.Node) { n.Place.Zone = "" }, "--zone"},
		{"a host name", func(n *mwsetting.Node) { n.Listen.Peer = "node:1" }, "--peer"},
		{"local not on loopback", func(n *mwsetting.Node) { n.Listen.Local = "192.0.2.1:1" }, "--local"},
		{"certificate without key", func(n *mwsetting.Node) { n.Listen.CertFile = "c.pem" }, "--tls-cert"},
		{"ratio above 1", func(n *mwsetting.Node) { n.Route.EjectRatio = 1.5 }, "--route.eject-ratio"},
		{"long share above medium share", func(n *mwsetting.Node) { n.Admit.LongShare = 0.9 }, "--admit.long-share"},
		{"rate of 0", func(n *mwsetting.Node) { n.Store.Writes = 0 }, "--store.writes"},
		{"no claims in a batch", func(n *mwsetting.Node) { n.Claim.Batch = 0 }, "--claim.batch"},
		{"time-out of 0", func(n *mwsetting.Node) { n.Store.Timeout = 0 }, "--store.timeout"},
		{"buffer too large", func(n *mwsetting.Node) { n.Relay.Buffer = 1 << 40 }, "--relay.buffer"},
	}
	all := mwsetting.Default()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := mwsetting.Default()
			test.change(n)
			test.change(all)
			err := n.Check()
			c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.BadSetting)
			c.Assert(err.Error(), qt.Contains, test.flag+": expected ")
		})
	}
	err := all.Check()
	for _, test := range tests {
		qt.Check(t, err.Error(), qt.Contains, test.flag+": expected ")
	}
}
