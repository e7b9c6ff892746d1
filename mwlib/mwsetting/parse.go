package mwsetting

import (
	"bytes"

	"github.com/jessevdk/go-flags"
)

// Default returns the settings of a node with every default, without the
// environment, for a node inside another program or a test.
func Default() *Node {
	n := &Node{}
	p := flags.NewNamedParser("mwnode", flags.None)
	if _, err := p.AddGroup("Node", "", n); err != nil {
		panic(err) // The tags of Node are part of the program.
	}
	args := []string{"--zone", "zone", "--region", "region"}
	if _, err := p.ParseArgs(args); err != nil {
		panic(err)
	}
	return n
}

// Print returns the settings that p has parsed, as an INI text with comments.
func Print(p *flags.Parser) string {
	var b bytes.Buffer
	flags.NewIniParser(p).Write(&b, flags.IniIncludeDefaults|flags.IniIncludeComments)
	return b.String()
}
