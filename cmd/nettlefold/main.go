// Command nettlefold is one mixer on real sockets. Without arguments it serves.
package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"nettlefold/internal/asynclog"
	"nettlefold/internal/hangup"
	"nettlefold/internal/protocol"
	"nettlefold/internal/settings"
)

// arguments are the command line.
type arguments struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve lookups until SIGTERM or SIGINT. The default."`
	Check   checkCommand   `cmd:"" help:"Check files as a start would, and say what is wrong."`
	Explain explainCommand `cmd:"" help:"Print the settings in force, defaults too, as one JSON document."`
	Relay   relayCommand   `cmd:"" help:"Be a relay of the control tier until SIGTERM or SIGINT."`
	Give    giveCommand    `cmd:"" help:"Give the mixers a version of the settings that are taken in flight."`
	Version versionCommand `cmd:"" help:"Print what was built from what."`
}

// sources are where settings come from.
type sources struct {
	Config   string `short:"c" env:"LB_CONFIG" help:"The platform's configuration, JSON." placeholder:"FILE"`
	Settings string `short:"s" env:"NETTLEFOLD_SETTINGS" help:"Our own settings, XML as in deploy/nettlefold.xsd." placeholder:"FILE"`
}

type serveCommand struct {
	sources
	Log string `env:"NETTLEFOLD_LOG" help:"Level of the log, before that of the settings." placeholder:"LEVEL"`
}

// Run serves.
func (a *serveCommand) Run(hup <-chan os.Signal) error {
	own, err := settings.Load(a.Settings)
	if err != nil {
		return err
	}
	log, flush, err := logger(own, a.Log)
	if err != nil {
		return err
	}
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, hup, paths{a.Config, a.Settings}, own, log)
}

// logger makes the log that the settings ask for. A level of the command line goes before theirs. flush writes what is left of it.
func logger(own settings.Settings, above string) (log *slog.Logger, flush func(), err error) {
	level := new(slog.LevelVar)
	level.Set(own.Logging.Level)
	if above != "" {
		if err := level.UnmarshalText([]byte(above)); err != nil {
			return nil, nil, fmt.Errorf("NETTLEFOLD_LOG: %w", err)
		}
	}
	to := func(out io.Writer) *slog.Logger {
		options := &slog.HandlerOptions{Level: level}
		if own.Logging.JSON {
			return slog.New(slog.NewJSONHandler(out, options))
		}
		return slog.New(slog.NewTextHandler(out, options))
	}
	out := asynclog.New(os.Stderr, func(out io.Writer, dropped uint64) {
		to(out).Warn("lines of the log were dropped, as it was not read", "lines", dropped)
	})
	return to(out), func() { out.Close(logFlushLimit) }, nil
}

type checkCommand struct {
	Files []string `arg:"" help:"Files: our own settings (.xml), configurations of the platform (any other)."`
}

// Run checks each file whole.
func (a *checkCommand) Run() error {
	for _, path := range a.Files {
		var err error
		if filepath.Ext(path) == ".xml" {
			_, err = settings.Load(path)
		} else {
			_, err = configured(path)
		}
		if err != nil {
			return err
		}
		fmt.Println(path, "is sound")
	}
	return nil
}

type explainCommand struct{ sources }

// Run prints the settings in force.
func (a *explainCommand) Run() error {
	own, err := settings.Load(a.Settings)
	if err != nil {
		return err
	}
	c, err := configured(a.Config)
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(explained(c, own))
}

// explained gives all settings in force as one document. Secrets are files, and are named, not shown.
func explained(c protocol.Config, own settings.Settings) any {
	return struct {
		Name, Listen, Discovery string
		Charter, Limits, Own    any
		Tariffs, Customers      map[string]int
	}{c.Name, c.Listen, c.Discovery, c.Mixer, c.Limits, own, c.TariffRows, c.TenantRows}
}

type versionCommand struct{}

// Run prints the build: what tells this program apart from one that was built from other sources.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("built without build information")
	}
	fmt.Println("nettlefold", info.Main.Version, info.GoVersion, runtime.GOARCH)
	fmt.Println("  revision", revisionOf(info.Settings))
	if digest, err := executableDigest(); err == nil {
		fmt.Println("  sha256", digest)
	}
	for _, d := range info.Deps {
		fmt.Println(" ", d.Path, d.Version)
	}
	return nil
}

// revisionOf returns the commit from which a program was built, as far as its build recorded it.
func revisionOf(settings []debug.BuildSetting) string {
	revision, modified := "not recorded", ""
	for _, setting := range settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = ", modified"
		}
	}
	return revision + modified
}

// executableDigest returns the SHA-256 checksum of this program's file in hexadecimal.
func executableDigest() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	digest := sha256.New()
	if _, err := io.Copy(digest, file); err != nil {
		return "", err
	}
	return hex.EncodeToString(digest.Sum(nil)), nil
}

func main() {
	hup := hangup.Notify()
	signal.Ignore(syscall.SIGPIPE) // of a log whose reader is gone
	if len(os.Args) > 1 && systemCommands[os.Args[1]] {
		if err := systemCommand(hup).Execute(); err != nil {
			fail(err)
		}
		return
	}
	var a arguments
	command := kong.Parse(&a, kong.Name("nettlefold"), kong.Description("One mixer: one lookup served from many searchers."),
		kong.UsageOnError(), kong.Bind(hup))
	if err := command.Run(); err != nil {
		fail(err)
	}
}

// logFlushLimit is how long the end of a program waits for whoever reads its log.
const logFlushLimit = 300 * time.Millisecond

// fail ends the program with an error, whether or not anybody reads it.
func fail(err error) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		fmt.Fprintln(os.Stderr, "nettlefold:", err)
	}()
	select {
	case <-written:
	case <-time.After(logFlushLimit):
	}
	os.Exit(1)
}
