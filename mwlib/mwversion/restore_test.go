package mwversion_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcluster"
	"mustardwheel.example/mwlib/mwconfig"
)

// Accepted changes must come in force although the store came back from a copy and gave
// the first of them a version that nodes have in force with other documents.
func TestVersionOfALaterHistory(t *testing.T) {
	run(t, 1, 3, func(cl *cluster) {
		old := cl.Store.Copy()
		v := cl.apply("lost", 1)
		cl.waitForVersion(10*time.Second, v, cl.Nodes())
		cl.Store.Restore(old)
		var want []mwconfig.DocumentName
		for _, name := range []mwconfig.DocumentName{"kept", "next"} {
			cl.apply(name, 2)
			want = append(want, name)
			advance(10 * time.Second)
			for _, n := range cl.Nodes() {
				cl.c.Check(documentNames(n), qt.DeepEquals, want)
			}
		}
	})
}

// documentNames returns the names of the documents in force at n.
func documentNames(n *mwcluster.Node) []mwconfig.DocumentName {
	var out []mwconfig.DocumentName
	for _, d := range n.Config.Snapshot().Documents() {
		out = append(out, d.Name)
	}
	return out
}
