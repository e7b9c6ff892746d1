package mwsetting

import (
	"strings"

	"github.com/jessevdk/go-flags"
)

// Entry documents one setting.
type Entry struct {
	Group       string
	Flag        string
	Env         string
	Default     string
	Description string
}

// Table returns an Entry for each setting of a node, in the order of the help
// text.
func Table() []Entry {
	p := flags.NewNamedParser("mwnode", flags.None)
	g, err := p.AddGroup("Node", "", &Node{})
	if err != nil {
		panic(err) // The tags of Node are invalid.
	}
	var es []Entry
	for _, sub := range g.Groups() {
		for _, o := range sub.Options() {
			es = append(es, Entry{
				Group: sub.ShortDescription, Flag: "--" + o.LongNameWithNamespace(),
				Env: o.EnvKeyWithNamespace(), Default: strings.Join(o.Default, ","),
				Description: o.Description,
			})
		}
	}
	return es
}
