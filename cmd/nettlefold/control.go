package main

import (
	"encoding/json"
	"hash/fnv"
	"log/slog"

	"nettlefold/internal/fleet/control"
	"nettlefold/internal/fleet/relay"
	"nettlefold/internal/protocol"
	"nettlefold/internal/settings"
)

// controlled makes the mixer's session with the control tier, nil where none is set: then nothing listens and nothing runs. A
// version is laid over the settings of the start, and put in force for the queries that come after it.
func controlled(c protocol.Config, s *settings.Control, v *versions, log *slog.Logger) *relay.Client {
	if s == nil {
		return nil
	}
	name := fnv.New64a()
	name.Write([]byte(c.Name)) // mixers of one seed are spread all the same
	return &relay.Client{
		Seats:  s.Relays,
		Self:   control.Self{Name: c.Name, Region: s.Region, Zone: c.Mixer.Zone},
		Window: s.Window,
		Seed:   uint64(c.Seed) ^ name.Sum64(),
		Log:    log,
		Apply:  func(_ control.Stamp, document json.RawMessage) error { return v.apply(document) },
	}
}
