package mwsetting_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwsetting"
)

func write(c *qt.C, text string) string {
	path := filepath.Join(c.TempDir(), "node.ini")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func TestFileArgs(t *testing.T) {
	c := qt.New(t)
	c.Setenv("MW_REGION", "graz")
	path := write(c, `
[Place]
zone = wien-a
region = wien
[Listeners]
local =
pprof = true
[Membership]
member.join = 127.0.0.1:1
member.join = 127.0.0.1:2
member.period = 250ms
`)
	args, err := mwsetting.FileArgs(path)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Join(args, " "), qt.Equals,
		"--zone=wien-a --local= --pprof --member.join=127.0.0.1:1 --member.join=127.0.0.1:2 --member.period=250ms")
}

func TestBadFiles(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown setting", "[Place]\nplanet = x\n", "unknown option: planet"},
		{"unknown group", "[Planet]\nzone = x\n", "could not find option group"},
		{"value is not a number", "[Admission]\nadmit.queue = many\n", "many"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := mwsetting.FileArgs(write(c, test.text))
			c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.BadSetting)
			c.Assert(err.Error(), qt.Contains, test.want)
		})
	}
	_, err := mwsetting.FileArgs("/does/not/exist")
	qt.Assert(t, mwcode.CodeOf(err), qt.Equals, mwcode.BadSetting)
}
