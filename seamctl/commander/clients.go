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
	parent := &cobra.Command{Use: "clients", Short: "Work with the map of client blocks to regions"}
	parent.AddCommand(clientsPublishCommand())
	return parent
}

func clientsPublishCommand() *cobra.Command {
	var p platform
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Replace the client map by a file with a line `BLOCK REGION` for each block",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			builder, err := readClients(args[0])
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

// readClients reads a file of blocks and regions.
func readClients(path string) (*locator.Builder, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read client map: %w", err)
	}
	defer func() { _ = file.Close() }()
	builder := locator.NewBuilder()
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 {
			continue
		}
		place := fmt.Sprintf("%s:%d", path, number)
		if len(fields) != 2 {
			return nil, coder.Errorf(coder.ConfigInvalid, place, "want a block and a region")
		}
		prefix, err := netip.ParsePrefix(fields[0])
		if err != nil {
			return nil, coder.Errorf(coder.ConfigInvalid, place, "%w", err)
		}
		if err := builder.Add(prefix, fields[1]); err != nil {
			return nil, coder.Errorf(coder.ConfigInvalid, place, "%w", err)
		}
	}
	return builder, lines.Err()
}
