package commander

import (
	"bufio"
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/applier"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/locator"
	"primroseseam.org/seam/storer"
)

func clientsCommand() *cobra.Command {
	parent := &cobra.Command{Use: "clients", Short: "Manage the map from client address blocks to regions"}
	parent.AddCommand(clientsPublishCommand())
	return parent
}

func clientsPublishCommand() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Replace the client map with a file of `BLOCK REGION` lines",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			builder, err := readClientMap(args[0])
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			return p.change(cmd.Context(), w, func(ctx context.Context, store storer.Store) (storer.Object, error) {
				o, err := applier.New(store).PublishClientMap(ctx, builder)
				if err == nil {
					printf(w, "accepted: %d blocks, version %d\n", builder.Len(), o.Version)
				}
				return o, err
			})
		},
	}
	p.addFlags(cmd)
	p.addWaitFlags(cmd)
	return cmd
}

// readClientMap reads a client map file and returns a builder with its blocks. Each line
// holds a CIDR block and a region; blank lines are skipped.
func readClientMap(path string) (*locator.Builder, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read client map: %w", err)
	}
	defer func() { _ = file.Close() }()
	builder := locator.NewBuilder()
	scanner := bufio.NewScanner(file)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 {
			continue
		}
		location := fmt.Sprintf("%s:%d", path, lineNumber)
		if len(fields) != 2 {
			return nil, coder.Errorf(coder.ConfigInvalid, location, "expected a CIDR block and a region")
		}
		prefix, err := netip.ParsePrefix(fields[0])
		if err != nil {
			return nil, coder.Errorf(coder.ConfigInvalid, location, "%w", err)
		}
		if err := builder.Add(prefix, fields[1]); err != nil {
			return nil, coder.Errorf(coder.ConfigInvalid, location, "%w", err)
		}
	}
	return builder, scanner.Err()
}
