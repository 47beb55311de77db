// Package local reads the settings file that the platform provides to each process of a fleet. The file
// has lines of the form a.b=value; the items of a list are separated by commas. Unknown fields are
// ignored, whatever their values are, so that newer platforms can add some.
package local

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "NETTLEFOLD_SETTINGS"

// Settings are the settings of one process on one machine.
type Settings struct {
	NodeName              string
	IP                    string
	Zone                  string
	Region                string
	Zones                 map[string]string // region by zone
	FrontAddr             string            // listen address for clients
	ReadyAddr             string            // listen address for readiness checks
	ControlAddr           string            // listen address for the control API
	FirstPort             int               // of the internal port range
	LastPort              int               // of the internal port range
	Seeds                 []string          // control addresses of known controllers
	FirstStart            bool              // never run before, so that an empty data directory is not a loss of data
	CountsForQuorum       bool
	DataDirectory         string
	Contracts             []string // names of the contracts that are in force
	MemoryMB              int
	DiskMB                int // 0 if not set
	FileDescriptors       int
	LinkMbps              float64       // bandwidth of the machine's link; 0 if not set
	CloudAddr             string        // of the cloud API, which lists the backends
	CloudRate             float64       // calls per second to the cloud API, summed over all processes
	CloudLag              time.Duration // maximum delay until the cloud API shows a change
	MachineFaultTolerance int           // machines that may fail at once while the contracts still hold
	ZoneFaultTolerance    int           // zones that may fail at once while the contracts still hold
	Bounds                Bounds
}

// Bounds are the limits that the contracts in force set. The fields are those of the settings
// file with the prefix "bounds.".
type Bounds struct {
	Contact          time.Duration
	Ack              time.Duration
	CatchUp          time.Duration
	Drain            time.Duration
	Grace            time.Duration // for a graceful shutdown
	ConfigApply      time.Duration
	Evacuation       time.Duration
	Lease            time.Duration // minimum time between two holders of a duty, unless Fenced
	Version          time.Duration // from when a version of the weights is superseded until no response may begin on it
	BudgetWindow     time.Duration // over which the retry budget is counted
	RetryBudgetRatio float64       // retries per request
	RetryBudgetSlack float64       // retries per window in addition
	ColdOvershoot    float64       // factor on the request rate that a cold backend handles
	ColdSlack        float64       // requests per second to a cold backend in addition
	Fenced           bool          // engines reject orders with an older fencing token
}

// FieldError is a field with an invalid value.
type FieldError struct{ Field, Value, Want string }

func (e *FieldError) Error() string {
	return fmt.Sprintf("settings: %s is %q, want %s", e.Field, e.Value, e.Want)
}

// Read reads a settings file.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(string(text))
}

// Parse parses the text of a settings file. It reports the first invalid value that it finds as a
// *FieldError, and returns the settings even then.
func Parse(text string) (*Settings, error) {
	p := &parser{fields: parseFields(text)}
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

// HasContract reports whether the named contract is in force.
func (s *Settings) HasContract(name string) bool { return slices.Contains(s.Contracts, name) }

// InternalAddr returns the address of the first internal port on the machine with the given IP address,
// which may be followed by a port.
func (s *Settings) InternalAddr(ipOrAddr string) string {
	ip, _, found := strings.Cut(ipOrAddr, ":")
	if !found {
		ip = ipOrAddr
	}
	return ip + ":" + strconv.Itoa(s.FirstPort)
}

// LoopbackAddr returns the address at which an agent serves the proxy on the same machine. The port is the
// second internal one. In tests, machines are loopback addresses of one host and would share 127.0.0.1, so
// each machine uses its own IP address.
func (s *Settings) LoopbackAddr() string {
	ip := "127.0.0.1"
	if strings.HasPrefix(s.IP, "127.") {
		ip = s.IP
	}
	return ip + ":" + strconv.Itoa(s.FirstPort+1)
}

// parseFields returns the values of a settings file by field. Nothing but the line ends and the first equals sign of a line has a
// meaning. Lines without one are ignored; of a field that comes twice the last value counts.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for line := range strings.Lines(text) {
		if field, value, found := strings.Cut(line, "="); found {
			fields[strings.TrimSpace(field)] = strings.TrimSpace(value)
		}
	}
	return fields
}

// parser reads fields and collects the first error.
type parser struct {
	fields map[string]string
	err    error
}

func (p *parser) fail(field, value, want string) {
	if p.err == nil {
		p.err = &FieldError{field, value, want}
	}
}

func (p *parser) text(field string) string { return p.fields[field] }

// list splits a field at commas. Empty items are dropped.
func (p *parser) list(field string) []string {
	var items []string
	for _, item := range strings.Split(p.text(field), ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// boolean parses a field that is true or false. The default is false.
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

// number parses a field that is a number of at least 0.
func (p *parser) number(field string, defaultValue float64) float64 {
	value := p.text(field)
	if value == "" {
		return defaultValue
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= 0 && n <= math.MaxInt64/float64(time.Second)) {
		p.fail(field, value, "a number of at least 0")
		return defaultValue
	}
	return n
}

func (p *parser) millis(field string, defaultMillis float64) time.Duration {
	return time.Duration(p.number(field, defaultMillis) * float64(time.Millisecond))
}

func (p *parser) seconds(field string, defaultSeconds float64) time.Duration {
	return time.Duration(p.number(field, defaultSeconds) * float64(time.Second))
}

// withPrefix returns the fields whose names have a prefix, by the rest of the name.
func (p *parser) withPrefix(prefix string) map[string]string {
	fields := map[string]string{}
	for field, value := range p.fields {
		if name, ok := strings.CutPrefix(field, prefix); ok {
			fields[name] = value
		}
	}
	return fields
}

// parsePorts sets the internal port range.
func (p *parser) parsePorts(s *Settings) {
	items := p.list("internal_port_range")
	if len(items) == 2 {
		first, errFirst := strconv.Atoi(items[0])
		last, errLast := strconv.Atoi(items[1])
		if errFirst == nil && errLast == nil && first > 0 && last > first && last < 65536 {
			s.FirstPort, s.LastPort = first, last
			return
		}
	}
	p.fail("internal_port_range", p.text("internal_port_range"), "two ports, the first below the second")
}
