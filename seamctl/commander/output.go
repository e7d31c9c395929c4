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

// outputFormat is the format in which a command prints its result.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

func (o *outputFormat) addFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar((*string)(o), "output", string(outputTable), "output format: table or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]cobra.Completion{string(outputTable), string(outputJSON)}, cobra.ShellCompDirectiveNoFileComp))
}

func (o outputFormat) check() error {
	if o != outputTable && o != outputJSON {
		return coder.Errorf(coder.ArgumentInvalid, "--output", "unknown output format %q; use table or json", o)
	}
	return nil
}

// table is the result of a command for the output format "table".
type table struct {
	columns []string
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes value as indented JSON if the format is JSON, otherwise t as a table with
// aligned columns. Both hold the same result.
func (o outputFormat) print(w io.Writer, t table, value any) error {
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
