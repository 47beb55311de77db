package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"nettlefold/internal/fleet/relay"
	"nettlefold/internal/settings"
)

type relayCommand struct {
	Name     string `required:"" help:"Which relay of the settings this is." placeholder:"NAME"`
	Listen   string `help:"Where sessions are taken, if not at the address of its row." placeholder:"HOST:PORT"`
	Admin    string `help:"Where versions are given and questions answered, if not at listeners/admin." placeholder:"HOST:PORT"`
	Settings string `short:"s" required:"" env:"NETTLEFOLD_SETTINGS" help:"Our own settings, with <control>." placeholder:"FILE"`
	Log      string `env:"NETTLEFOLD_LOG" help:"Level of the log, before that of the settings." placeholder:"LEVEL"`
}

// Run is one relay of the control tier until SIGTERM or SIGINT.
func (a *relayCommand) Run() error {
	own, err := settings.Load(a.Settings)
	if err != nil {
		return err
	}
	if own.Control == nil {
		return fmt.Errorf("%s: control: missing", a.Settings)
	}
	seat, err := own.Control.Seat(a.Name)
	if err != nil {
		return fmt.Errorf("%s: %w", a.Settings, err)
	}
	log, flush, err := logger(own, a.Log)
	if err != nil {
		return err
	}
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sessions, err := awaitListener(ctx, cmp.Or(a.Listen, seat.Address), log)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer sessions.Close()
	var admin net.Listener
	if at := cmp.Or(a.Admin, own.Admin); at != "" {
		admin, err = awaitListener(ctx, at, log)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		defer admin.Close()
	}
	s, err := relay.NewServer(relay.Options{Name: a.Name, Seats: own.Control.Relays, Wait: own.Control.Window,
		Words: own.Control.Words, Log: log})
	if err != nil {
		return err
	}
	log.Info("relay", "name", a.Name, "region", seat.Region, "listen", sessions.Addr(), "life", s.Life())
	err = s.Run(ctx, sessions, admin)
	log.Info("relay has left")
	return err
}

type giveCommand struct {
	File     string `arg:"" help:"The document: settings that are taken in flight, JSON as in the platform's settings."`
	Relay    string `required:"" help:"The admin listener of a relay." placeholder:"HOST:PORT"`
	After    string `help:"Only if this is the newest version." placeholder:"EPOCH.NUMBER"`
	NewEpoch bool   `help:"Begin a new epoch: this version goes before all given so far, wherever they are."`
}

const mostAnswer = 64 << 10 // bytes of a relay's answer

// Run gives a version to a relay, and prints its answer.
func (a *giveCommand) Run() error {
	raw, err := os.ReadFile(a.File)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+a.Relay+relay.PathVersions, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("--relay: %q: %w", a.Relay, err)
	}
	if a.After != "" {
		req.Header.Set(relay.HeaderAfter, a.After)
	}
	if a.NewEpoch {
		req.Header.Set(relay.HeaderNewEpoch, "yes")
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: mostAnswer}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	if err != nil {
		return err
	}
	answer = bytes.TrimSpace(answer)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", resp.Status, answer)
	}
	fmt.Printf("%s\n", answer)
	return nil
}
