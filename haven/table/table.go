// Package table writes tables for people and for programs.
package table

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"verbenahaven.example/core/conn/proto"
)

const gap = 2 // columns between cells

var oneLine = strings.NewReplacer("\n", `\n`, "\t", `\t`, "\r", `\r`)

// Text writes a table with aligned columns.
func Text(w io.Writer, t proto.Table) error {
	if len(t.Columns) == 0 {
		return nil
	}
	tw := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	line(tw, t.Columns)
	for _, r := range t.Rows {
		line(tw, r)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func line(w io.Writer, cells []string) {
	shown := make([]string, len(cells))
	for i, c := range cells {
		shown[i] = oneLine.Replace(c)
		if c == "" {
			shown[i] = "-"
		}
	}
	// Errors of the writer show at its flush.
	_, _ = fmt.Fprintln(w, strings.Join(shown, "\t"))
}

// JSON writes any value as indented JSON.
func JSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}
