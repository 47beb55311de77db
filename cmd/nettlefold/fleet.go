package main

import (
	"cmp"
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
	site := ownSite(c, f)
	if err := f.Has(site); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	keys, err := fleetKeys(f.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("fleet: key-file: %w", err)
	}
	o := roster.Options{Self: roster.Life{Name: c.Name, Site: site, Build: build()}, Listen: f.Listen,
		Advertise: f.Advertise, Join: f.Join, Routes: f.Routes, Group: f.Group, Exchange: x, Log: log,
		Forget: f.Forget, MostMembers: f.Members}
	if len(keys) > 0 {
		o.Key, o.Others = keys[0], keys[1:]
	}
	r, err := roster.Start(o)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	log.Info("takes part in the fleet", "site", site, "life", fmt.Sprintf("%016x", r.Self().Life), "address", r.Address(),
		"sealed", len(keys) > 0)
	return r, nil
}

// ownSite is the site this mixer stands in: where the settings do not say, the zone of the platform's configuration.
func ownSite(c protocol.Config, f *settings.Fleet) string { return cmp.Or(f.Site, c.Mixer.Zone) }

const mostKeys = 4 // in a file

// fleetKeys reads the keys that seal what mixers tell each other, one a line, each of 16, 24 or 32 bytes in hex. The first seals,
// all are taken.
func fleetKeys(path string) (keys [][]byte, err error) {
	if path == "" {
		return nil, nil
	}
	text, err := store.Secret(path)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Fields(text) {
		key, err := hex.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("%s: key %d: not in hex", path, i+1) // the error itself would show a part of it
		}
		if n := len(key); n != 16 && n != 24 && n != 32 || i >= mostKeys {
			return nil, fmt.Errorf("%s: key %d: %d bytes, want 16, 24 or 32, and %d keys at the most", path, i+1, n, mostKeys)
		}
		keys = append(keys, key)
	}
	return keys, nil
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
