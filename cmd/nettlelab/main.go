// Command nettlelab demonstrates and measures nettlefold, so that the mixer's own program stays lean.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"nettlefold/internal/lab/fleetdemo"
	"nettlefold/internal/lab/measure"
)

type arguments struct {
	Demo           demoCommand           `cmd:"" help:"A toy world, a mixer and some lookups, with the answers printed."`
	Fleet          fleetCommand          `cmd:"" help:"A small router fleet of real processes on the loopback: a controller is killed, the configuration changes, new weights come."`
	Configurations configurationsCommand `cmd:"" help:"A fleet of real processes whose operator changes the configuration in every way, beside seeded troubles; a judge of CONFIG."`
	Floods         floodsCommand         `cmd:"" help:"A fleet of real processes some of whose backends send bytes without end, in many forms: memory, and requests of other clients."`
	Soak           soakCommand           `cmd:"" help:"A seeded soak of a router fleet of real processes on the loopback: signals, restarts, configurations, weights and engines in trouble, overlapping; a judge of its own."`
	Starts         startsCommand         `cmd:"" help:"Starts of each of the fleet's programs while something hinders them: signals, held addresses, an unread log, no descriptors, settings being written."`
	Streams        streamsCommand        `cmd:"" help:"A fleet of real processes whose engines end their streams in all ways, read by clients of HTTP/1.1 and 1.0; a judge of ORDER."`
	Pairs          pairsCommand          `cmd:"" help:"What each mechanism of the fleet is worth: the same days with and without it, by the operators' bench."`
	Several        severalCommand        `cmd:"" help:"Nine mixers in three sites through failures of sites and wires, and which rules held."`
	Measure        measureCommand        `cmd:"" help:"Play what the project claims, print the table, and fail if a claim does."`

	Network uint8 `help:"Second number of the loopback addresses of a fleet of processes, so that several run beside each other."`

	FanoutCost fanoutCostCommand `cmd:"" hidden:""`
}

type measureCommand struct {
	Name  string `arg:"" help:"One of: ${measurements}."`
	Quick bool   `help:"Fewer seeds; ends within 50 s."`

	Against string `type:"existingfile" placeholder:"PROGRAM" help:"Of fanout: another build of nettlelab that plays the same costs in turns."`
}

// Run measures.
func (a *measureCommand) Run() error {
	do := measure.Measurements[a.Name]
	if do == nil {
		return fmt.Errorf("no measurement %q; there are: %s", a.Name, strings.Join(measure.Names(), ", "))
	}
	if a.Against != "" {
		var err error
		if a.Name != "fanout" {
			return fmt.Errorf("only fanout is measured against another build")
		}
		if do, err = against(a.Against); err != nil {
			return err
		}
	}
	began := time.Now()
	r, err := do(a.Quick)
	if err != nil {
		return err
	}
	failed := r.Print(os.Stdout)
	fmt.Println("took", time.Since(began).Round(time.Second))
	if failed > 0 {
		return fmt.Errorf("%d claims fail", failed)
	}
	return nil
}

func main() {
	var a arguments
	command := kong.Parse(&a, kong.Name("nettlelab"), kong.Description("Demonstrations and measurements of nettlefold."),
		kong.UsageOnError(), kong.Vars{"measurements": strings.Join(measure.Names(), ", ")})
	fleetdemo.Network = a.Network
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "nettlelab:", err)
		os.Exit(1)
	}
}
