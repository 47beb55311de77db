package main

import (
	"encoding/hex"
	"fmt"
	"log/slog"
	"runtime/debug"
	"strings"

	"nettlefold/internal/fleet/roster"
	"nettlefold/internal/protocol"
	"nettlefold/internal/settings"
	"nettlefold/internal/store"
)

// gather starts the roster of the mixers that take part, nil where no fleet is set: then nothing listens and nothing runs. Its
// errors name element and value.
func gather(c protocol.Config, f *settings.Fleet, x roster.Exchange, log *slog.Logger) (*roster.Roster, error) {
	if f == nil {
		return nil, nil
	}
	site := f.Site
	if site == "" {
		site = c.Charter.Zone
	}
	if err := f.Has(site); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	key, err := fleetKey(f.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("fleet: key-file: %w", err)
	}
	r, err := roster.Start(roster.Options{Self: roster.Life{Name: c.Name, Site: site, Build: build()}, Listen: f.Listen, Advertise: f.Advertise,
		Join: f.Join, Routes: f.Routes, Group: f.Group, Key: key, Exchange: x, Log: log, Forget: f.Forget, MostMembers: f.Members})
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	log.Info("takes part in the fleet", "site", site, "life", fmt.Sprintf("%016x", r.Self().Life), "address", r.Address(), "sealed", key != nil)
	return r, nil
}

// fleetKey reads the key that seals what mixers tell each other: 16, 24 or 32 bytes in hex.
func fleetKey(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	text, err := store.Secret(path)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil {
		return nil, fmt.Errorf("%s: not in hex", path) // the error itself would show a part of it
	}
	switch len(key) {
	case 16, 24, 32:
		return key, nil
	}
	return nil, fmt.Errorf("%s: %d bytes, want 16, 24 or 32", path, len(key))
}

// build names what this program was built from, "" where that is not known.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(len(s.Value), 12)]
		}
	}
	return info.Main.Version[:min(len(info.Main.Version), 64)]
}
