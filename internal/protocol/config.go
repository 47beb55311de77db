package protocol

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"

	"nettlefold/internal/charter"
	"nettlefold/mixer"
)

// Config is what a mixer is started with.
type Config struct {
	Name, Listen, Discovery string
	Seed                    int64
	Mixer                   mixer.Config
	TariffRows, TenantRows  map[string]int // tariffs; customers, from 1 on
	Limits                  charter.Limits
	KnownMembers            MemberList

	values   map[string]string // everything but discovery and known, as written
	settings charter.Settings  // the settings as written, which a version is laid over
}

type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores   float64 `json:"cores"`
		Memory  float64 `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// ReadConfig reads the platform's configuration.
func ReadConfig(raw []byte) (Config, error) {
	var in config
	if err := json.Unmarshal(raw, &in); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c := Config{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery}
	for _, f := range []struct{ name, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if f.value == "" {
			return c, fmt.Errorf("configuration: %s: missing", f.name)
		}
		if _, port, err := net.SplitHostPort(f.value); err != nil {
			return c, fmt.Errorf("configuration: %s: %w", f.name, err)
		} else if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return c, fmt.Errorf("configuration: %s: port: %q", f.name, truncate(port))
		}
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("configuration: seed: not hex of 64 bits: %q", truncate(in.Seed))
	}
	c.Seed = int64(seed)
	if !(in.Limits.Cores > 0 && in.Limits.Cores < 1e4) {
		return c, fmt.Errorf("configuration: limits.cores: %v", in.Limits.Cores)
	}
	if !(in.Limits.Memory >= 1 && in.Limits.Memory < 1e9) {
		return c, fmt.Errorf("configuration: limits.memory_mb: %v", in.Limits.Memory)
	}
	if in.Limits.Sockets < 1 {
		return c, fmt.Errorf("configuration: limits.sockets: %d", in.Limits.Sockets)
	}
	terms, err := charter.ParseJSON(in.Settings)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if c.Mixer, c.TariffRows, err = terms.MixerConfig(); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	c.TenantRows, c.settings = terms.TenantRows(c.Mixer), terms
	if c.Limits, err = terms.Limits(c.Mixer); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	c.Limits.CPUCores, c.Limits.FileDescriptors = in.Limits.Cores, in.Limits.Sockets
	c.Limits.MemoryBytes = int64(in.Limits.Memory * (1 << 20))
	c.values = map[string]string{"name": c.Name, "listen": c.Listen, "seed": in.Seed, "limits": fmt.Sprint(in.Limits)}
	for key, v := range terms {
		c.values["settings."+key] = v
	}
	if len(in.Known) > 0 {
		if c.KnownMembers, err = ReadMemberList(in.Known); err != nil {
			return c, fmt.Errorf("configuration: known: %w", err)
		}
	}
	return c, nil
}

// Differs names what of another configuration this one has otherwise, but for discovery and the list as last known.
func (c Config) ChangedKeys(other Config) (names []string) {
	for name, v := range c.values {
		if w, ok := other.values[name]; !ok || v != w {
			names = append(names, name)
		}
	}
	for name := range other.values {
		if _, ok := c.values[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Revise gives the configuration with a version of the settings laid over those it was read with, never over a version before:
// each is whole by itself. How a document is written, and what it may change, is said at charter.Terms.Lay. Of the limits only
// Open follows: the longest deadline, and with it the time after SIGTERM, stay the start's, which no version may exceed. What
// is wrong is a *charter.Fault with path and value; then the configuration is as before.
func (c Config) Overlay(document []byte) (Config, error) {
	terms, err := c.settings.Overlay(document)
	if err != nil {
		return c, err
	}
	anew, _, err := terms.MixerConfig()
	if err != nil {
		return c, err
	}
	limits, err := terms.Limits(anew)
	if err != nil {
		return c, err
	}
	c.Mixer, c.Limits.MaxOpenRequests = anew, limits.MaxOpenRequests
	return c, nil
}
