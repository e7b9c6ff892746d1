package mwsetting

import (
	"bytes"

	"github.com/jessevdk/go-flags"
)

// Default returns the default settings of a node in the zone "zone" of the
// region "region". For other settings, an environment variable that is set takes
// precedence over the default, as in mwnode. Default serves nodes that run
// inside another program or a test.
func Default() *Node {
	n := &Node{}
	p := flags.NewNamedParser("mwnode", flags.None)
	if _, err := p.AddGroup("Node", "", n); err != nil {
		panic(err) // The tags of Node are invalid.
	}
	args := []string{"--zone", "zone", "--region", "region"}
	if _, err := p.ParseArgs(args); err != nil {
		panic(err)
	}
	return n
}

// Print formats the settings that p has parsed as an INI file with comments.
func Print(p *flags.Parser) string {
	var b bytes.Buffer
	flags.NewIniParser(p).Write(&b, flags.IniIncludeDefaults|flags.IniIncludeComments)
	return b.String()
}
