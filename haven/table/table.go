// Package table writes query results as aligned text or as JSON.
package table

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"verbenahaven.example/core/conn/proto"
)

const columnPadding = 2 // spaces between columns

var controlEscaper = strings.NewReplacer("\n", `\n`, "\t", `\t`, "\r", `\r`)

// WriteText writes a table with aligned columns. Empty cells are shown as "-";
// line breaks and tabs are escaped.
func WriteText(w io.Writer, t proto.Table) error {
	if len(t.Columns) == 0 {
		return nil
	}
	tw := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	writeRow(tw, t.Columns)
	for _, r := range t.Rows {
		writeRow(tw, r)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func writeRow(w io.Writer, cells []string) {
	formatted := make([]string, len(cells))
	for i, c := range cells {
		formatted[i] = controlEscaper.Replace(c)
		if c == "" {
			formatted[i] = "-"
		}
	}
	// The tabwriter reports write errors at its flush.
	_, _ = fmt.Fprintln(w, strings.Join(formatted, "\t"))
}

// WriteJSON writes any value as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}
