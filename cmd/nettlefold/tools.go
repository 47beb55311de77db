package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"nettlefold/internal/config"
	"nettlefold/internal/durable"
	"nettlefold/internal/settings/local"
)

const (
	// statusLimit bounds the call of nettlefold status in time, maxStatusHeaderBytes and maxStatusBytes what it reads.
	statusLimit          = 3 * time.Second
	maxStatusHeaderBytes = 64 << 10
	maxStatusBytes       = 32 << 20
)

// toolCommands are the words for operators beside the programs.
func toolCommands() []*cobra.Command {
	return []*cobra.Command{stateCommand(), configurationCommand(), settingsCommand(), statusCommand()}
}

// stateCommand reads a controller's disk offline.
func stateCommand() *cobra.Command {
	state := &cobra.Command{Use: "state", Short: "Read a controller's state from its disk, without changing it"}
	state.AddCommand(&cobra.Command{
		Use: "inspect DIR", Short: "Print identity, view, state and log of a data directory", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := durable.Inspect(args[0])
			if err != nil {
				return err
			}
			printReport(cmd.OutOrStdout(), report)
			return nil
		},
	}, &cobra.Command{
		Use: "verify DIR", Short: "Check every record of a data directory; a damaged one is named with file, offset and cause", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := durable.Inspect(args[0])
			if err != nil {
				return err
			}
			if err := report.Verify(); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), args[0], "is sound")
			return nil
		},
	})
	return state
}

func printReport(out io.Writer, r *durable.Report) {
	for _, f := range r.Files {
		fmt.Fprintf(out, "%s: %d bytes, %d records, complete %v", f.Path, f.Bytes, f.Records, f.Complete)
		if f.TornAt >= 0 {
			fmt.Fprintf(out, ", torn end at offset %d", f.TornAt)
		}
		if f.Damage != nil {
			fmt.Fprintf(out, ", %v", f.Damage)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "identity %s\nepoch %d, log of epoch %d, length at its start %d\nchain %v\n",
		r.Meta.Identity, r.Meta.View.Epoch, r.Meta.LogEpoch, r.Meta.View.LogLength, r.Meta.View.Chain)
	if r.State != nil {
		fmt.Fprintf(out, "snapshot at %d: configuration %d, prompts shared since %d, evacuated %v, models %v, duties %v\n",
			r.State.Seq, r.State.ConfigVersion, r.State.PromptSharing.Since, r.State.Evacuated, r.State.Models, r.State.Leases)
	}
	if r.State != nil && r.State.ConfigVersion != 0 {
		if _, err := config.Parse(r.State.Config); err != nil {
			fmt.Fprintf(out, "accepted by another build, would be refused by this one: %v\n", err)
		}
	}
	for _, e := range r.Entries {
		fmt.Fprintf(out, "entry %d of epoch %d, %d bytes\n", e.Seq, e.Epoch, len(e.Operation))
	}
}

// checkFiles reads each file and tells whether it is sound.
func checkFiles(check func(text []byte) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		for _, path := range args {
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if err := check(text); err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			fmt.Fprintln(cmd.OutOrStdout(), path, "is sound")
		}
		return nil
	}
}

func configurationCommand() *cobra.Command {
	configuration := &cobra.Command{Use: "configuration", Short: "The operator's configurations"}
	configuration.AddCommand(&cobra.Command{
		Use: "check FILE...", Short: "Check configurations as a controller would, and say where one is wrong", Args: cobra.MinimumNArgs(1),
		RunE: checkFiles(func(text []byte) error { _, err := config.Parse(text); return err }),
	})
	return configuration
}

func settingsCommand() *cobra.Command {
	settings := &cobra.Command{Use: "settings", Short: "The platform's settings files of the fleet's programs"}
	settings.AddCommand(&cobra.Command{
		Use: "check FILE...", Short: "Check settings files as a start would, and name the field that is wrong", Args: cobra.MinimumNArgs(1),
		RunE: checkFiles(func(text []byte) error { _, err := local.Parse(string(text)); return err }),
	})
	return settings
}

func statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status ADDR", Short: "Print what the controller at a control address knows of the fleet", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client := &http.Client{Timeout: statusLimit, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxStatusHeaderBytes}}
			answer, err := client.Get("http://" + args[0] + "/v1/status")
			if err != nil {
				return err
			}
			defer answer.Body.Close()
			if answer.StatusCode != http.StatusOK {
				return fmt.Errorf("status of %s: %s", args[0], answer.Status)
			}
			var status any
			if err := json.NewDecoder(io.LimitReader(answer.Body, maxStatusBytes)).Decode(&status); err != nil {
				return fmt.Errorf("status of %s: %w", args[0], err)
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(status)
		},
	}
}
