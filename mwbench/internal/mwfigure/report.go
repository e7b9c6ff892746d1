package mwfigure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteJSON writes one line of JSON for each figure.
func WriteJSON(w io.Writer, fs []Figure) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	for _, f := range fs {
		if err := e.Encode(f); err != nil {
			return fmt.Errorf("writing figures: %w", err)
		}
	}
	return nil
}

// Padding between the columns of a table.
const (
	columnGap  = 2
	columnFill = ' '
)

// WriteTable writes a table with one line for each figure.
func WriteTable(w io.Writer, fs []Figure) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, columnFill, 0)
	fmt.Fprintln(t, "Scenario\tArm\tFigure\tValue\tSpread\tUnit\tTarget\tMet")
	for _, f := range fs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f.Scenario, f.Arm, f.Figure,
			format(f.Value), format(f.Spread), f.Unit, orDash(f.Target), f.met())
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("writing figures: %w", err)
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (f Figure) met() string {
	switch {
	case f.Met == nil:
		return "-"
	case *f.Met:
		return "yes"
	}
	return "MISSED"
}

// Missed returns the figures that miss their target.
func Missed(fs []Figure) []Figure {
	var out []Figure
	for _, f := range fs {
		if f.Met != nil && !*f.Met {
			out = append(out, f)
		}
	}
	return out
}
