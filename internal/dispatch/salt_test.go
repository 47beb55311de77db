package dispatch

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/config"
)

// setTenants sets a configuration whose tenants are those given, by name and whether they are isolated.
func setTenants(t *testing.T, table *Table, tenants map[string]bool) {
	t.Helper()
	doc, err := config.Parse([]byte(testConfig))
	require.NoError(t, err)
	for name, isolated := range tenants {
		doc.Tenants = append(doc.Tenants, config.Tenant{Name: name, Isolated: isolated})
	}
	table.SetConfig(config.Compile(doc))
}

// saltOf returns the salt of a tenant's request.
func saltOf(table *Table, tenant string) string {
	r := promptRequest()
	r.Tenant = tenant
	return table.Pick(0, r).Salt
}

// TestIsolatedTenantSalt checks the salts of tenants under configurations with and without isolated ones.
func TestIsolatedTenantSalt(t *testing.T) {
	first, seventh := int64(0), int64(7)
	for name, c := range map[string]struct {
		tenants      map[string]bool
		sharingSince *int64
		salts        map[string]string
	}{
		"nobody isolated":            {map[string]bool{"a": false, "b": false}, &first, map[string]string{"a": "v1", "b": "v1", "": "v1"}},
		"nobody isolated, unknown":   {map[string]bool{"a": false, "b": false}, nil, map[string]string{"a": "v1", "b": "v1", "": "v1"}},
		"isolated from the start":    {map[string]bool{"a": false, "b": true}, &first, map[string]string{"a": "v1", "b": "v1/b", "": "v1"}},
		"isolated since":             {map[string]bool{"a": false, "b": true}, &seventh, map[string]string{"a": "v1-7", "b": "v1/b", "": "v1-7"}},
		"not isolated any more":      {map[string]bool{"a": false, "b": false}, &seventh, map[string]string{"a": "v1-7", "b": "v1-7"}},
		"not in the configuration":   {map[string]bool{"a": false}, &first, map[string]string{"b": "v1/b"}},
		"name of other characters":   {map[string]bool{"a b/ü\n": true}, &first, map[string]string{"a b/ü\n": "v1/a%20b%2F%C3%BC%0A"}},
		"no tenant, one is isolated": {map[string]bool{"b": true}, &seventh, map[string]string{"": "v1-7"}},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, backendInfo(1, 1))
			setTenants(t, table, c.tenants)
			table.SetSharingSince(c.sharingSince)
			for tenant, salt := range c.salts {
				require.Equal(t, salt, saltOf(table, tenant), "tenant %q", tenant)
			}
		})
	}
}

// TestUnknownSharingNamesIsolatedTenants checks that, where the start of the common salt is unknown, the salt
// differs for each set of isolated tenants and for nothing else.
func TestUnknownSharingNamesIsolatedTenants(t *testing.T) {
	table := newTable(t, backendInfo(1, 1))
	salts := map[string]string{}
	for name, tenants := range map[string]map[string]bool{
		"b": {"a": false, "b": true}, "c": {"a": false, "c": true}, "b and c": {"a": false, "b": true, "c": true}, "bc": {"a": false, "bc": true},
	} {
		setTenants(t, table, tenants)
		salt := saltOf(table, "a")
		require.Regexp(t, "^v1~[0-9a-f]{32}$", salt, name)
		require.Empty(t, salts[salt], "the salt of %s", name)
		salts[salt] = name
		tenants["d"] = false
		setTenants(t, table, tenants)
		require.Equal(t, salt, saltOf(table, "a"), "with a tenant more that is not isolated")
	}
}

// TestSaltsOfNamesDiffer guards against WALL between isolated tenants whose names are alike: a header field
// loses spaces at its ends, and a name may look like the rest of a salt. The salts are compared as an engine
// receives them.
func TestSaltsOfNamesDiffer(t *testing.T) {
	names := []string{"a", "a ", " a", "a\t", "a\n", "-7", "/a", "%20", " ", "ä", "~", "a/b", "a%2Fb"}
	tenants := map[string]bool{"open": false}
	for _, name := range names {
		tenants[name] = true
	}
	table := newTable(t, backendInfo(1, 1))
	setTenants(t, table, tenants)
	since := int64(7)
	table.SetSharingSince(&since)
	var received string
	engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received = r.Header.Get("Cache-Salt") }))
	defer engine.Close()
	owners := map[string]string{}
	for _, name := range append(names, "open") {
		request, err := http.NewRequest(http.MethodGet, engine.URL, nil)
		require.NoError(t, err)
		request.Header.Set("Cache-Salt", saltOf(table, name))
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		response.Body.Close()
		owner, taken := owners[received]
		require.False(t, taken, "salt %q of %q is also that of %q", received, name, owner)
		owners[received] = name
	}
}

// TestSaltWithoutEngine guards against WALL where the configuration names no engine for a service whose
// backends are engines: requests without a salt share one cache.
func TestSaltWithoutEngine(t *testing.T) {
	info := backendInfo(1, 3)
	info.Service = "plain"
	table := newTable(t, info)
	setTenants(t, table, map[string]bool{"a": false, "b": true})
	since := int64(0)
	table.SetSharingSince(&since)
	r := promptRequest()
	r.Service, r.Tenant = "plain", "b"
	c := table.Pick(0, r)
	require.Equal(t, "v3/b", c.Salt)
	require.Equal(t, int64(3), c.Version)
	require.Equal(t, unratedPriority, c.EnginePriority)
	r.Model = ""
	require.Equal(t, "v0/b", table.Pick(0, r).Salt, "without a model")
	r.Parts = nil
	require.Empty(t, table.Pick(0, r).Salt, "without a prompt")
}
