package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"primroseseam.org/seam/storer"
)

// daemonSettings has those settings of seamd that become part of the instance's entry in
// the platform's list.
type daemonSettings struct {
	Instance struct {
		ID            string `json:"id"`
		Region        string `json:"region"`
		FailureDomain string `json:"failureDomain"`
	} `json:"instance"`
	Listen struct {
		Callers string `json:"callers"`
		Lookups string `json:"lookups"`
		Peers   string `json:"peers"`
	} `json:"listen"`
}

// registerCommand returns the command that adds instances to the platform's list. In
// production, the system that starts the instances adds them.
func registerCommand() *cobra.Command {
	var platform, state string
	cmd := &cobra.Command{
		Use:   "register SETTINGS...",
		Short: "Add instances to the platform's list, from their settings files",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			for _, path := range args {
				if err := register(platform, path, storer.InstanceState(state)); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&platform, "platform", "http://127.0.0.1:7000", "URL of the platform stand-in")
	cmd.Flags().StringVar(&state, "state", string(storer.InstanceLive), "state of the instances: live or leaving")
	return cmd
}

// register reads the settings file of an instance and adds the instance, with the given
// state, to the platform's list. An earlier entry of the instance is replaced.
func register(platform, path string, state storer.InstanceState) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	var s daemonSettings
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	body, err := json.Marshal(storer.Instance{
		ID: s.Instance.ID, Region: s.Instance.Region, FailureDomain: s.Instance.FailureDomain,
		CallerAddress: s.Listen.Callers, LookupAddress: s.Listen.Lookups, PeerAddress: s.Listen.Peers, State: state,
	})
	if err != nil {
		return fmt.Errorf("encode instance: %w", err)
	}
	req, err := http.NewRequest(http.MethodPut, platform+"/v1/instances", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("register %s: %s", s.Instance.ID, resp.Status)
	}
	return nil
}
