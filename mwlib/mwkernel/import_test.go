package mwkernel_test

import (
	"go/build"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const module = "mustardwheel.example/mwlib/"

// imports adds to seen every package that the package in dir imports, directly
// or through packages of this module.
func imports(c *qt.C, dir string, seen map[string]bool) {
	p, err := build.ImportDir(dir, 0)
	c.Assert(err, qt.IsNil)
	for _, i := range p.Imports {
		if seen[i] {
			continue
		}
		seen[i] = true
		if rest, ok := strings.CutPrefix(i, module); ok {
			imports(c, "../"+rest, seen)
		}
	}
}

// codecs are packages for encodings, which the kernel must not depend on.
var codecs = []string{"net/http", "net/rpc", "encoding/gob"}

// plugins are packages that register plug-ins with the kernel.
var plugins = []string{
	"mwadmit", "mwclass", "mwroute", "mwretry", "mwclaim", "mwmember",
	"mwversion", "mwhttp",
}

func TestKernelImportsNoPluginAndNoCodec(t *testing.T) {
	c := qt.New(t)
	seen := make(map[string]bool)
	imports(c, ".", seen)
	for _, p := range plugins {
		c.Check(seen[module+p], qt.IsFalse, qt.Commentf("mwkernel imports %s", p))
	}
	for _, p := range codecs {
		c.Check(seen[p], qt.IsFalse, qt.Commentf("mwkernel imports %s", p))
	}
}
