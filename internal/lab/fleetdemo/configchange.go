package fleetdemo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
)

// Bounds of what the play's operator draws.
const (
	mostTenants   = 4
	fillerRoutes  = 3000 // of a large configuration: some 600 KB
	largestJump   = 3    // between two versions
	leastTimeout  = 1000 // ms
	largeEvery    = 12   // one in so many configurations is large
	changesAtMost = 3    // from one configuration to the next
)

// firstModelledConfig returns the configuration that a play starts with.
func firstModelledConfig() modelledConfig {
	return modelledConfig{Version: 1, Routes: []configRoute{{Place: 0, Service: "red", Timeout: leastTimeout}}}
}

// nextConfig draws a valid configuration that follows another one. A plain one has routes at plain places only.
func nextConfig(random *rand.Rand, before *modelledConfig, plain bool) modelledConfig {
	next := before.clone()
	next.Version += 1 + random.Int64N(largestJump)
	next.Filler = 0
	if random.IntN(largeEvery) == 0 {
		next.Filler = fillerRoutes
	}
	for range 1 + random.IntN(changesAtMost) {
		configChanges[random.IntN(len(configChanges))](random, &next)
	}
	if plain {
		next.Routes = slices.DeleteFunc(next.Routes, func(r configRoute) bool { return r.Place >= plainPlaces })
	}
	return next
}

// configChanges are what a configuration may change from the one before. A change that doesn't fit does nothing.
var configChanges = []func(random *rand.Rand, c *modelledConfig){
	addRoute, addRoute, removeRoute, moveRoute, splitRoute, changePublic, changeTimeout,
	addTenant, removeTenant, removeAllTenants, moveKey, addKey, dropKey, changeIsolation, changePriority,
}

func addRoute(random *rand.Rand, c *modelledConfig) {
	at := random.IntN(len(places))
	if !slices.ContainsFunc(c.Routes, func(r configRoute) bool { return r.Place == at }) {
		c.Routes = append(c.Routes, configRoute{Place: at, Service: drawService(random), Timeout: leastTimeout})
	}
}

func removeRoute(random *rand.Rand, c *modelledConfig) {
	if len(c.Routes) > 0 {
		at := random.IntN(len(c.Routes))
		c.Routes = slices.Delete(c.Routes, at, at+1)
	}
}

func moveRoute(random *rand.Rand, c *modelledConfig) {
	if r := drawRoute(random, c); r != nil {
		r.Service, r.Split = drawService(random), nil
	}
}

func splitRoute(random *rand.Rand, c *modelledConfig) {
	if r := drawRoute(random, c); r != nil {
		first := random.IntN(len(configServices))
		r.Split = []splitShare{{configServices[first], random.IntN(2)}, {configServices[(first+1)%len(configServices)], 1 + random.IntN(9)}}
	}
}

func changePublic(random *rand.Rand, c *modelledConfig) {
	if r := drawRoute(random, c); r != nil {
		r.Public = !r.Public
	}
}

func changeTimeout(random *rand.Rand, c *modelledConfig) {
	if r := drawRoute(random, c); r != nil {
		r.Timeout = leastTimeout + random.IntN(leastTimeout)
	}
}

func addTenant(random *rand.Rand, c *modelledConfig) {
	name := fmt.Sprint("tenant-", random.IntN(mostTenants))
	if !slices.ContainsFunc(c.Tenants, func(t configTenant) bool { return t.Name == name }) {
		c.Tenants = append(c.Tenants, configTenant{Name: name})
		addKey(random, c)
	}
}

func removeTenant(random *rand.Rand, c *modelledConfig) {
	if len(c.Tenants) > 0 {
		at := random.IntN(len(c.Tenants))
		c.Tenants = slices.Delete(c.Tenants, at, at+1)
	}
}

func removeAllTenants(random *rand.Rand, c *modelledConfig) {
	if random.IntN(3) == 0 {
		c.Tenants = nil
	}
}

// moveKey gives a key of one tenant to another.
func moveKey(random *rand.Rand, c *modelledConfig) {
	from, to := drawTenant(random, c), drawTenant(random, c)
	if from != nil && from != to && len(from.Keys) > 0 {
		key := from.Keys[0]
		from.Keys = from.Keys[1:]
		to.Keys = append(to.Keys, key)
	}
}

func addKey(random *rand.Rand, c *modelledConfig) {
	key := keyName(random.IntN(probeKeys))
	if t := drawTenant(random, c); t != nil && c.tenantOf(key) == "" {
		t.Keys = append(t.Keys, key)
	}
}

func dropKey(random *rand.Rand, c *modelledConfig) {
	if t := drawTenant(random, c); t != nil && len(t.Keys) > 0 {
		t.Keys = t.Keys[1:]
	}
}

func changeIsolation(random *rand.Rand, c *modelledConfig) {
	if t := drawTenant(random, c); t != nil {
		t.Isolated = !t.Isolated
	}
}

func changePriority(random *rand.Rand, c *modelledConfig) {
	if t := drawTenant(random, c); t != nil {
		t.Priority = random.IntN(3)
	}
}

func drawService(random *rand.Rand) string { return configServices[random.IntN(len(configServices))] }

func drawRoute(random *rand.Rand, c *modelledConfig) *configRoute {
	if len(c.Routes) == 0 {
		return nil
	}
	return &c.Routes[random.IntN(len(c.Routes))]
}

func drawTenant(random *rand.Rand, c *modelledConfig) *configTenant {
	if len(c.Tenants) == 0 {
		return nil
	}
	return &c.Tenants[random.IntN(len(c.Tenants))]
}

// invalidChange makes the text of a valid configuration invalid.
type invalidChange struct {
	name   string
	change func(text string, before *modelledConfig) string
}

// plainInvalidChanges are those that builds from before strict reading refuse too.
var plainInvalidChanges = []invalidChange{
	{"cut short", func(text string, _ *modelledConfig) string { return text[:len(text)/2] }},
	{"text behind it", func(text string, _ *modelledConfig) string { return text + "{}" }},
	{"the version in force", func(text string, before *modelledConfig) string { return withVersion(text, before.Version) }},
	{"an older version", func(text string, before *modelledConfig) string { return withVersion(text, before.Version-1) }},
	{"unknown service", withRoute(`{"host":"bad.example","path_prefix":"/","timeout_ms":5,"service":"nothing"}`)},
	{"no weight", withRoute(`{"host":"bad.example","path_prefix":"/","timeout_ms":5,"traffic_split":[{"service":"red","weight":0}]}`)},
	{"no timeout", withRoute(`{"host":"bad.example","path_prefix":"/","timeout_ms":0,"service":"red"}`)},
	{"a route twice", withRoute(`{"host":"bad.example","path_prefix":"/x/","timeout_ms":5,"service":"red"},{"host":"bad.example","path_prefix":"/x/","timeout_ms":5,"service":"green"}`)},
	{"a shared key", withTenants(`{"name":"x","api_keys":["key-0"]},{"name":"y","api_keys":["key-0"]}`)},
}

// invalidChanges are all of them.
var invalidChanges = slices.Concat(plainInvalidChanges, []invalidChange{
	{"Routes beside routes", func(text string, _ *modelledConfig) string { return `{"Routes":[],` + text[1:] }},
	{"routes twice", func(text string, _ *modelledConfig) string { return text[:len(text)-1] + `,"routes":[]}` }},
	{"unknown service beside a split", withRoute(`{"host":"bad.example","path_prefix":"/","timeout_ms":5,"service":"nothing","traffic_split":[{"service":"red","weight":1}]}`)},
	{"a timeout that is rounded to 0", withRoute(`{"host":"bad.example","path_prefix":"/","timeout_ms":1e-400,"service":"red"}`)},
	{"a route twice by another case", withRoute(`{"host":"bad.example","path_prefix":"/x/","timeout_ms":5,"service":"red"},{"host":"BAD.example","path_prefix":"/x/","timeout_ms":5,"service":"green"}`)},
	{"a route twice by a port", withRoute(`{"host":"bad.example","path_prefix":"/x/","timeout_ms":5,"service":"red"},{"host":"bad.example:80","path_prefix":"/x/","timeout_ms":5,"service":"green"}`)},
	{"a route twice by an escape", withRoute(`{"host":"bad.example","path_prefix":"/x/","timeout_ms":5,"service":"red"},{"host":"bad.example","path_prefix":"/%78/","timeout_ms":5,"service":"green"}`)},
	{"a host that is not text", withRoute("{\"host\":\"bad\xff.example\",\"path_prefix\":\"/\",\"timeout_ms\":5,\"service\":\"red\"}")},
	{"a shared key with a blank", withTenants(`{"name":"x","api_keys":["key-0"]},{"name":"y","api_keys":["key-0 "]}`)},
})

var versionField = regexp.MustCompile(`"version":\d+`)

func withVersion(text string, version int64) string {
	return versionField.ReplaceAllString(text, fmt.Sprintf(`"version":%d`, version))
}

// withRoute returns a change that puts a route, or several, before the others.
func withRoute(route string) func(text string, before *modelledConfig) string {
	return func(text string, _ *modelledConfig) string {
		separator := ","
		if strings.Contains(text, `"routes":[]`) {
			separator = ""
		}
		return strings.Replace(text, `"routes":[`, `"routes":[`+route+separator, 1)
	}
}

// withTenants returns a change that replaces the tenants.
func withTenants(tenants string) func(text string, before *modelledConfig) string {
	return func(text string, _ *modelledConfig) string {
		members := map[string]json.RawMessage{}
		if err := json.Unmarshal([]byte(text), &members); err != nil {
			panic(err) // impossible: the play made the text
		}
		members["tenants"] = json.RawMessage("[" + tenants + "]")
		encoded, err := json.Marshal(members)
		if err != nil {
			panic(err) // impossible: all members are valid
		}
		return string(encoded)
	}
}
