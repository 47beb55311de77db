// Package local reads the settings file that the platform gives each process of a fleet: lines of the form a.b=value, items of a
// list parted by commas. Unknown fields are ignored, as new ones may appear.
package local

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

// Variable names the environment variable that holds the file's path.
const PathVariable = "NETTLEFOLD_SETTINGS"

// Settings are those of one process on one machine.
type Settings struct {
	NodeName              string
	IP                    string
	Zone                  string
	Region                string
	Zones                 map[string]string // zone to region
	FrontAddr             string
	ReadyAddr             string
	ControlAddr           string
	FirstPort             int
	LastPort              int
	Seeds                 []string // control addresses
	FirstStart            bool
	CountsForQuorum       bool
	DataDirectory         string
	Contracts             []string // parts of the rules that are in force
	MemoryMB              int
	DiskMB                int // 0 if it is not stated
	FileDescriptors       int
	LinkMbps              float64 // of the machine's link, 0 if it is not stated
	CloudAddr             string
	CloudRate             float64 // calls a second, all processes together
	CloudLag              time.Duration
	MachineFaultTolerance int // that may be lost at once with all rules kept
	ZoneFaultTolerance    int
	Bounds                Bounds
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	Contact          time.Duration
	Ack              time.Duration
	CatchUp          time.Duration
	Drain            time.Duration
	Grace            time.Duration
	ConfigApply      time.Duration
	Evacuation       time.Duration
	Lease            time.Duration
	Version          time.Duration
	BudgetWindow     time.Duration
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	ColdOvershoot    float64
	ColdSlack        float64
	Fenced           bool
}

// FieldError names a field whose value cannot be used.
type FieldError struct{ Field, Value, Want string }

func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s is %q, want %s", e.Field, e.Value, e.Want)
}

// Load reads the file that the environment names.
func Load() (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, fmt.Errorf("settings: %s is not set", PathVariable)
	}
	return Read(path)
}

// Read reads a settings file.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(string(text))
}

// Parse reads settings from their text.
func Parse(text string) (*Settings, error) {
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	values, err := loader.LoadBytes([]byte(text))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p := &parser{values: values}
	s := &Settings{
		NodeName:              p.text("node_name"),
		IP:                    p.text("ip"),
		Zone:                  p.text("zone"),
		Region:                p.text("region"),
		Zones:                 p.withPrefix("zones."),
		FrontAddr:             p.text("listen_addresses.front"),
		ReadyAddr:             p.text("listen_addresses.ready"),
		ControlAddr:           p.text("listen_addresses.control"),
		Seeds:                 p.list("seeds"),
		FirstStart:            p.boolean("first_start"),
		CountsForQuorum:       p.boolean("counts_for_quorum"),
		DataDirectory:         p.text("data_directory"),
		Contracts:             p.list("contracts"),
		MemoryMB:              int(p.number("limits.memory_mb", 256)),
		DiskMB:                int(p.number("limits.disk_mb", 0)),
		FileDescriptors:       int(p.number("limits.file_descriptors", 1024)),
		LinkMbps:              p.number("limits.link_mbps", 0),
		CloudAddr:             p.text("cloud.address"),
		CloudRate:             p.number("cloud.rate_per_s", 1),
		CloudLag:              p.millis("cloud.lag_ms", 1000),
		MachineFaultTolerance: int(p.number("fault_tolerance.machines", 1)),
		ZoneFaultTolerance:    int(p.number("fault_tolerance.zones", 0)),
		Bounds: Bounds{
			Contact:          p.millis("bounds.contact_ms", 3000),
			Ack:              p.millis("bounds.ack_ms", 4000),
			CatchUp:          p.seconds("bounds.catch_up_s", 4),
			Drain:            p.millis("bounds.drain_ms", 3000),
			Grace:            p.seconds("bounds.grace_s", 8),
			ConfigApply:      p.millis("bounds.config_apply_ms", 2000),
			Evacuation:       p.millis("bounds.evacuation_ms", 5000),
			Lease:            p.millis("bounds.lease_ms", 3000),
			Version:          p.millis("bounds.version_ms", 15000),
			BudgetWindow:     p.seconds("bounds.budget_window_s", 10),
			RetryBudgetRatio: p.number("bounds.retry_budget_ratio", 0.1),
			RetryBudgetSlack: p.number("bounds.retry_budget_slack", 10),
			ColdOvershoot:    p.number("bounds.cold_overshoot", 1),
			ColdSlack:        p.number("bounds.cold_slack", 0),
			Fenced:           p.boolean("bounds.fenced"),
		},
	}
	p.parsePorts(s)
	if s.IP == "" {
		p.fail("ip", "", "an address")
	}
	return s, p.err
}

// HasContract tells whether a part of the rules is in force.
func (s *Settings) HasContract(name string) bool { return slices.Contains(s.Contracts, name) }

// InternalAddr is where a machine's first internal port is, for the machine whose control or other address is given.
func (s *Settings) InternalAddr(ipOrAddr string) string {
	ip, _, found := strings.Cut(ipOrAddr, ":")
	if !found {
		ip = ipOrAddr
	}
	return ip + ":" + strconv.Itoa(s.FirstPort)
}

// LoopbackAddr is where an agent feeds the proxy beside it. Machines that are themselves addresses of one host's loopback share 127.0.0.1,
// so there each uses its own.
func (s *Settings) LoopbackAddr() string {
	ip := "127.0.0.1"
	if strings.HasPrefix(s.IP, "127.") {
		ip = s.IP
	}
	return ip + ":" + strconv.Itoa(s.FirstPort+1)
}

type parser struct {
	values *properties.Properties
	err    error // the first fault
}

func (p *parser) fail(field, value, want string) {
	if p.err == nil {
		p.err = &FieldError{field, value, want}
	}
}

func (p *parser) text(field string) string { return strings.TrimSpace(p.values.GetString(field, "")) }

func (p *parser) list(field string) []string {
	var items []string
	for _, item := range strings.Split(p.text(field), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func (p *parser) boolean(field string) bool {
	switch value := p.text(field); value {
	case "true":
		return true
	case "", "false":
		return false
	default:
		p.fail(field, value, "true or false")
		return false
	}
}

func (p *parser) number(field string, absent float64) float64 {
	value := p.text(field)
	if value == "" {
		return absent
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || n < 0 || n != n {
		p.fail(field, value, "a number of at least 0")
	}
	return n
}

func (p *parser) millis(field string, absent float64) time.Duration {
	return time.Duration(p.number(field, absent) * float64(time.Millisecond))
}

func (p *parser) seconds(field string, absent float64) time.Duration {
	return time.Duration(p.number(field, absent) * float64(time.Second))
}

func (p *parser) withPrefix(prefix string) map[string]string {
	found := map[string]string{}
	for _, key := range p.values.Keys() {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			found[name] = p.text(key)
		}
	}
	return found
}

func (p *parser) parsePorts(s *Settings) {
	items := p.list("internal_port_range")
	if len(items) == 2 {
		first, err1 := strconv.Atoi(items[0])
		last, err2 := strconv.Atoi(items[1])
		if err1 == nil && err2 == nil && first > 0 && last > first && last < 65536 {
			s.FirstPort, s.LastPort = first, last
			return
		}
	}
	p.fail("internal_port_range", p.text("internal_port_range"), "two ports, the first below the second")
}
