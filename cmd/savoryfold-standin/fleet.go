package main

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/standin"
)

func fleetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "fleet FILE",
		Short: "Run many backend servers in one process",
		Long:  "fleet runs the backend servers listed in a JSON file. The first line of output is a JSON object that maps each name to its address.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var members []standin.FleetMember
			if err := json.Unmarshal(text, &members); err != nil {
				return errors.Wrap(err, args[0])
			}
			return serveFleet(cmd, members)
		},
	}
}

func serveFleet(cmd *cobra.Command, members []standin.FleetMember) error {
	addresses := make(map[string]string)
	var servers []*standin.Server
	for _, m := range members {
		s, err := standin.Listen("127.0.0.1:0", m.Handler())
		if err != nil {
			return err
		}
		addresses[m.Name] = s.Address()
		servers = append(servers, s)
	}
	line, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	return untilSignal(cmd, string(line), func() error {
		for _, s := range servers {
			_ = s.Close()
		}
		return nil
	})
}
