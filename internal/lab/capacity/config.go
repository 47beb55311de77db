package capacity

import (
	"fmt"
	"strings"

	"nettlefold/internal/protocol"
	"nettlefold/internal/settings"
)

func init() { sources = append(sources, configCurves) }

func configCurves() []Curve {
	return []Curve{{
		Role: "mixer", Of: "searchers", Plan: Searchers, Sizes: fleetSizes, Quick: quickSizes, Play: playConfig,
		Quantities: []Quantity{
			{Name: "settings: bytes of the platform's configuration with the known list", Unit: "B", Form: Affine,
				Deterministic: true, Known: configBytes},
			{Name: "settings: allocations of reading it", Unit: "1", Form: Affine, Deterministic: true, Known: configAllocations},
			{Name: "settings: bytes allocated by reading it", Unit: "B", Form: Affine, Deterministic: true, Known: configAllocated},
			{Name: "settings: reading it", Unit: "s", Form: Power, Known: configTime},
		},
	}, {
		Role: "mixer", Of: "mixers", Plan: Mixers, Sizes: []int{200, 400, 800, 1600, 3200, 6300}, Quick: []int{50, 100, 200,
			400, 800},
		Play: playSettings, Quantities: []Quantity{
			{Name: "settings: bytes of our own with a route to each mixer", Unit: "B", Form: Affine, Deterministic: true,
				Known: settingsBytes},
			{Name: "settings: allocations of reading them", Unit: "1", Form: Affine, Deterministic: true, Known: settingsAllocations},
			{Name: "settings: reading them", Unit: "s", Form: Power, Known: settingsTime},
		},
	}}
}

// config is the platform's configuration around a known list; what the plan does not name is as in example/config.json.
const config = `{"name":"mixer-0000","listen":"127.0.0.1:18080","discovery":"127.0.0.1:18500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":1024,"sockets":80000},"known":%s,
 "settings":{"Locality":"zone-0","NInstances":6300,"MembershipMode":"pushed",
   "FamilyInfo":{"Sets":%d,"Width":1,"Slabs":100000,"PerCall":4,"CompleteFrom":[1.0],"LeastShare":[1.0],"ClassPartial":[0.0],"FetchParts":[0]},
   "PolicyLimits":{"MaxAttempts":3,"MayDuplicate":true,"Cancel":true,"RetryAfter":true,"MaxRetryAfterMs":500.0,
     "MaxOpen":20000,"MaxStreams":100,"ConnectTimeoutMs":250.0,"KeepaliveMs":30000.0},
   "Guarantees":{"ColdFrom":0.2,"ColdMs":10000.0,"FallMultiple":2.0,"FallMs":1000.0},"Fees":{"CrossZone":0.05},
   "Profiles":[{"Name":"all","AimMs":57.0,"DeadlineMs":57.0,"Effect":"retryable","KeyTtlMs":0.0}]}}`

// playConfig reads the platform's configuration with the list as last known.
func playConfig(size int) ([]float64, error) {
	raw := []byte(fmt.Sprintf(config, whole(size, cellsOf(size)), cellsOf(size)))
	var c protocol.Config
	var err error
	a, b, t := best(3, func() { c, err = protocol.ReadConfig(raw) })
	if err == nil && len(c.KnownMembers.Members) != size {
		err = fmt.Errorf("%d members known of %d", len(c.KnownMembers.Members), size)
	}
	return []float64{float64(len(raw)), a, b, t.Seconds()}, err
}

// playSettings reads our own settings with a route to each mixer, as where none reaches another at the address it tells.
func playSettings(size int) ([]float64, error) {
	var x strings.Builder
	fmt.Fprintf(&x, `<nettlefold xmlns="%s"><fleet listen="127.0.0.1:7946" site="zone-0">`, settings.Namespace)
	for i := range int(ZonesAll) {
		fmt.Fprintf(&x, `<site name="zone-%d"/>`, i)
	}
	x.WriteString("\n")
	for i := range size {
		fmt.Fprintf(&x, `<route to="mixer-%04d" address="10.%d.%d.%d:7947"/>`+"\n", i, i>>16, i>>8&255, i&255)
	}
	x.WriteString("</fleet></nettlefold>\n")
	raw := []byte(x.String())
	var s settings.Settings
	var err error
	a, _, t := best(3, func() { s, err = settings.Read(raw) })
	if err == nil && len(s.Fleet.Routes) != size {
		err = fmt.Errorf("%d routes of %d", len(s.Fleet.Routes), size)
	}
	return []float64{float64(len(raw)), a, t.Seconds()}, err
}
