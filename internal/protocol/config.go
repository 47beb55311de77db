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

// Config is the configuration that a mixer starts with.
type Config struct {
	Name, Listen, Discovery string
	Seed                    int64
	Mixer                   mixer.Config
	TariffRows, TenantRows  map[string]int // by name: index of the request profile, from 0; tenant, from 1
	Limits                  charter.Limits
	KnownMembers            MemberList

	values   map[string]string // configured values by path, except discovery and known
	settings charter.Settings  // initial settings, the base of every overlay
}

// config is the JSON form of Config.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores   float64 `json:"cores"`
		Memory  float64 `json:"memory_mb"` // in MiB
		Sockets int     `json:"sockets"`   // limit of open file descriptors
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// ReadConfig parses and validates the JSON configuration that the platform provides.
func ReadConfig(raw []byte) (Config, error) {
	var in config
	if err := json.Unmarshal(raw, &in); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c := Config{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery}
	for _, address := range []struct{ name, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if address.value == "" {
			return c, fmt.Errorf("configuration: %s: missing", address.name)
		}
		if _, port, err := net.SplitHostPort(address.value); err != nil {
			return c, fmt.Errorf("configuration: %s: %w", address.name, err)
		} else if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return c, fmt.Errorf("configuration: %s: port: %q", address.name, truncate(port))
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
	settings, err := charter.ParseJSON(in.Settings)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if c.Mixer, c.TariffRows, err = settings.MixerConfig(); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	c.TenantRows, c.settings = settings.TenantRows(c.Mixer), settings
	if c.Limits, err = settings.Limits(c.Mixer); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	c.Limits.CPUCores, c.Limits.FileDescriptors = in.Limits.Cores, in.Limits.Sockets
	c.Limits.MemoryBytes = int64(in.Limits.Memory * (1 << 20))
	c.values = map[string]string{"name": c.Name, "listen": c.Listen, "seed": in.Seed, "limits": fmt.Sprint(in.Limits)}
	for key, value := range settings {
		c.values["settings."+key] = value
	}
	if len(in.Known) > 0 {
		if c.KnownMembers, err = ReadMemberList(in.Known); err != nil {
			return c, fmt.Errorf("configuration: known: %w", err)
		}
	}
	return c, nil
}

// ChangedKeys returns the sorted paths of the values that differ between c and other. It ignores the
// discovery address and the known members.
func (c Config) ChangedKeys(other Config) (names []string) {
	for name, value := range c.values {
		if otherValue, ok := other.values[name]; !ok || value != otherValue {
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

// Overlay returns the configuration with a settings document applied to the initial settings, never to
// those of an earlier document: each document is complete by itself. charter.Settings.Overlay describes
// the form of a document and what it may change. Of the limits, only MaxOpenRequests changes: the
// longest deadline, and with it the time allowed after SIGTERM, keep their initial values, and a document
// that needs more is rejected. An invalid document yields a *charter.SettingError with path and value, and c unchanged.
func (c Config) Overlay(document []byte) (Config, error) {
	settings, err := c.settings.Overlay(document)
	if err != nil {
		return c, err
	}
	mixerConfig, _, err := settings.MixerConfig()
	if err != nil {
		return c, err
	}
	limits, err := settings.Limits(mixerConfig)
	if err != nil {
		return c, err
	}
	c.Mixer, c.Limits.MaxOpenRequests = mixerConfig, limits.MaxOpenRequests
	return c, nil
}
