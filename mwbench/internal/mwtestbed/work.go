package mwtestbed

import (
	"encoding/json"
	"fmt"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
)

// workLabel is the label whose value is the kind of work of a request.
const workLabel mwlabel.Name = "Work"

// Work is a kind of work with its policy, as an operator would configure it.
type Work struct {
	Name mwconfig.DocumentName
	// Service, Method and PathPrefix select the requests of this kind; an
	// empty one matches all.
	Service    mwid.ServiceName
	Method     string
	PathPrefix string
	Policy     mwconfig.Policy
}

// documents returns a label, a selector and a policy document for each of ws.
func documents(ws []Work) ([]mwconfig.Document, error) {
	var out []mwconfig.Document
	for _, w := range ws {
		for _, p := range w.docSpecs() {
			b, err := json.Marshal(p.spec)
			if err != nil {
				return nil, fmt.Errorf("document %s: %w", w.Name, err)
			}
			out = append(out, mwconfig.Document{Kind: p.kind, Name: w.Name, Spec: b})
		}
	}
	return out, nil
}

// docSpec is the kind and spec of a document before it is encoded.
type docSpec struct {
	kind mwconfig.Kind
	spec any
}

func (w Work) docSpecs() []docSpec {
	v := mwlabel.Value(w.Name)
	p := w.Policy
	p.Requests = w.Name
	return []docSpec{
		{mwconfig.KindRequestLabel, mwconfig.RequestLabel{
			Service: w.Service, Method: w.Method, PathPrefix: w.PathPrefix,
			Labels: mwlabel.Set{workLabel: v},
		}},
		{mwconfig.KindSelector, mwconfig.Selector{
			On: mwconfig.OnRequest, Terms: mwlabel.Selector{{Label: workLabel, In: []mwlabel.Value{v}}},
		}},
		{mwconfig.KindPolicy, p},
	}
}
