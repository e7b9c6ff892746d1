package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table is a header and rows of cells.
type table struct {
	head []string
	rows [][]string
}

// add adds a row, with each cell formatted as by fmt.Sprint.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// print prints v as JSON, or t if the output format is a table.
func (e *env) print(v any, t *table) error {
	if e.global.Output == "json" {
		enc := json.NewEncoder(e.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.head, "\t"))
	for _, r := range t.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}
