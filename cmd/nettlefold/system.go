package main

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"nettlefold/internal/agent"
	"nettlefold/internal/asynclog"
	"nettlefold/internal/controller"
	"nettlefold/internal/metrics"
	"nettlefold/internal/proxy"
	"nettlefold/internal/rpc"
	"nettlefold/internal/settings/local"
)

// settingsPoll is how often the settings file is looked at: it may change without a signal.
const settingsPoll = 500 * time.Millisecond

// systemCommands are the words of the router fleet; all others, and none, are the mixer's.
var systemCommands = map[string]bool{
	"proxy": true, "agent": true, "controller": true, "state": true, "configuration": true, "settings": true, "status": true,
}

// program is one of the fleet's.
type program interface {
	metrics.Source
	Run(ctx context.Context) error
}

// programMaker makes a program of the fleet. It may wait for what the program needs until ctx is done.
type programMaker func(ctx context.Context, settings *local.Settings, log zerolog.Logger) (program, error)

// reloader takes settings that changed.
type reloader interface {
	Reload(settings *local.Settings)
}

// systemCommand makes the command line of the router fleet.
func systemCommand(hup <-chan os.Signal) *cobra.Command {
	root := &cobra.Command{
		Use:           "nettlefold",
		Short:         "A router fleet with an index of kept prompts",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	figures := root.PersistentFlags().String("metrics", "", "PORT/PATH on the machine's own address where a program serves its figures; none if empty")
	level := root.PersistentFlags().String("log-level", "info", "least level that is logged: debug, info, warn, error")
	add := func(use, short string, make programMaker) {
		root.AddCommand(&cobra.Command{
			Use:   use,
			Short: short,
			Long:  short + ". It reads the settings file that " + local.PathVariable + " names, and runs until SIGTERM or SIGINT.",
			Args:  cobra.NoArgs,
			RunE:  func(*cobra.Command, []string) error { return runProgram(use, *level, *figures, hup, make) },
		})
	}
	add("proxy", "Serve clients on a front machine", func(_ context.Context, s *local.Settings, log zerolog.Logger) (program, error) {
		return proxy.New(s, log), nil
	})
	add("agent", "Keep a front machine's link to the control plane", func(_ context.Context, s *local.Settings, log zerolog.Logger) (program, error) {
		return agent.New(s, log), nil
	})
	add("controller", "Keep the control state on a core machine and serve the operator", func(ctx context.Context, s *local.Settings, log zerolog.Logger) (program, error) {
		return controller.Open(ctx, s, log)
	})
	root.AddCommand(toolCommands()...)
	return root
}

// collectAt is how much the heap of a fleet's program grows, in percent of what is in use, until it is collected. The programs work little and
// run on every machine: their memory costs more than their collector does.
const collectAt = 40

// runProgram runs a program of the fleet until it is told to stop.
func runProgram(name, level, figures string, hup <-chan os.Signal, make programMaker) error {
	debug.SetGCPercent(collectAt)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings, err := local.Await(ctx, name)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	limitMemory(settings)
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		return err
	}
	var endpoint metrics.Endpoint
	if figures != "" {
		if endpoint, err = metrics.ParseEndpoint(figures); err != nil {
			return err
		}
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log, lines := programLog(settings.NodeName, name, least)
	defer lines.Close(logFlushLimit)
	context.AfterFunc(ctx, func() { exitAfter(settings.Bounds.Grace) })
	p, err := make(ctx, settings, log)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	go watchSettings(ctx, name, hup, p, log)
	if figures != "" {
		go serveMetrics(ctx, settings.IP, endpoint, figuresWithLog{p, lines}, log)
	}
	return p.Run(ctx)
}

// collectedShare is the share of a machine's memory limit from which on the collector works harder, in percent. The rest is for
// what it doesn't count: the program's text, stacks of the C library, and bytes that the kernel holds.
const collectedShare = 75

// limitMemory bounds the memory of the program by that of its sheet.
func limitMemory(settings *local.Settings) {
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 / 100 * collectedShare)
	rpc.SetFrameMemory(settings.MemoryMB)
}

// programLog returns the log of a program of the fleet, to which the standard library logs too, and the writer of its
// lines.
func programLog(node, program string, least zerolog.Level) (zerolog.Logger, *asynclog.Writer) {
	to := func(out io.Writer) zerolog.Logger {
		return zerolog.New(out).Level(least).With().Timestamp().Str("node", node).Str("program", program).Logger()
	}
	out := asynclog.New(os.Stderr, func(out io.Writer, dropped uint64) {
		log := to(out)
		log.Warn().Str("step", "log").Uint64("lines", dropped).Msg("lines of the log were dropped, as it was not read")
	})
	log := to(out)
	stdlog.SetFlags(0)
	stdlog.SetOutput(log)
	return log, out
}

// figuresWithLog are a program's figures and those of its log.
type figuresWithLog struct {
	metrics.Source
	lines *asynclog.Writer
}

// Metrics adds the numbers of dropped lines and of dropped frames to the program's figures.
func (f figuresWithLog) Metrics(ctx context.Context) (*metrics.Set, error) {
	set, err := f.Source.Metrics(ctx)
	if err == nil {
		set.Add("log_lines_dropped_total", float64(f.lines.Dropped()))
		set.Add("rpc_frames_dropped_total", float64(rpc.DroppedFrames()))
	}
	return set, err
}

// exitAfter ends the program once its grace to end is over, whatever still holds it up.
func exitAfter(grace time.Duration) {
	time.Sleep(grace)
	fail(errGraceOver)
}

// errGraceOver means that a program could not end by itself within its grace.
var errGraceOver = errors.New("told to end, and not done within the grace")

// serveMetrics serves a program's figures until ctx ends. The program goes on without them where their port is not to be had.
func serveMetrics(ctx context.Context, ip string, at metrics.Endpoint, source metrics.Source, log zerolog.Logger) {
	report := func(err error) {
		log.Warn().Err(err).Str("step", "metrics").Msg("no figures are served; will retry")
	}
	listener, err := metrics.Listen(ctx, ip, at, report)
	if err == nil {
		err = metrics.Serve(ctx, listener, at, source)
	}
	if err != nil && ctx.Err() == nil {
		log.Warn().Err(err).Str("step", "metrics").Msg("no figures are served")
	}
}

// watchSettings reads the settings anew on SIGHUP and when their file changes. A file with a fault changes nothing.
func watchSettings(ctx context.Context, name string, hup <-chan os.Signal, p program, log zerolog.Logger) {
	last := settingsStamp()
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-hup:
		case <-ticker.C:
			if now := settingsStamp(); now == last {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = settingsStamp()
		settings, err := local.Await(ctx, name)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			log.Warn().Err(err).Str("step", "reload").Msg("the settings were not taken")
			continue
		}
		if r, ok := p.(reloader); ok {
			r.Reload(settings)
		}
	}
}

// stamp tells versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

func settingsStamp() stamp {
	info, err := os.Stat(os.Getenv(local.PathVariable))
	if err != nil {
		return stamp{}
	}
	return stamp{info.ModTime(), info.Size()}
}
