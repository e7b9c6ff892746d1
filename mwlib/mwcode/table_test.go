package mwcode_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
)

// codesPage is the page with the table of codes.
const codesPage = "../../docs/CODES.md"

func TestPageHasTheTable(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile(codesPage)
	c.Assert(err, qt.IsNil)
	var want strings.Builder
	for _, e := range mwcode.Table() {
		fmt.Fprintf(&want, "| %d | %s | %s |\n", int(e.Code), e.Name, e.Meaning)
	}
	if os.Getenv("UPDATE") != "" {
		page, _, _ := strings.Cut(string(b), "| 0 |")
		c.Assert(os.WriteFile(codesPage, []byte(page+want.String()), 0o644), qt.IsNil)
		return
	}
	c.Assert(strings.HasSuffix(string(b), want.String()), qt.IsTrue,
		qt.Commentf("docs/CODES.md differs from mwcode.Table; run with UPDATE=1"))
}

func TestKinds(t *testing.T) {
	c := qt.New(t)
	c.Assert(mwcode.Overloaded.NotRun(), qt.IsTrue)
	c.Assert(mwcode.Overloaded.OutcomeUnknown(), qt.IsFalse)
	c.Assert(mwcode.Silent.OutcomeUnknown(), qt.IsTrue)
	c.Assert(mwcode.BadSetting.NotRun(), qt.IsFalse)
}
