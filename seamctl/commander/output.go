package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/coder"
)

// output is the form in which a command prints its result.
type output string

const (
	outputTable output = "table"
	outputJSON  output = "json"
)

func (o *output) addFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar((*string)(o), "output", string(outputTable), "table or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]cobra.Completion{string(outputTable), string(outputJSON)}, cobra.ShellCompDirectiveNoFileComp))
}

func (o output) check() error {
	if o != outputTable && o != outputJSON {
		return coder.Errorf(coder.ArgumentInvalid, "--output", "no output format %q; use table or json", o)
	}
	return nil
}

// table is a result for people.
type table struct {
	columns []string
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the table, or value as JSON.
func (o output) print(w io.Writer, t table, value any) error {
	if o == outputJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	tabs := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tabs, strings.Join(t.columns, "\t"))
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(tabs, strings.Join(row, "\t"))
	}
	return tabs.Flush()
}
