package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// table is rows under a title and the names of their columns.
type table struct {
	title   string
	columns []string
	rows    [][]string
}

func newTable(title string, columns ...string) *table { return &table{title: title, columns: columns} }

// add adds a row of one cell a column, each as fmt.Sprint prints it.
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// write prints the table; one without rows is left out.
func (t *table) write(to io.Writer) error {
	if len(t.rows) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "\n%s\n%s\n", t.title, strings.Join(t.columns, "\t")) // Flush tells of errors
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Wrap(w.Flush(), "print table")
}
