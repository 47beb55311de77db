package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validDocument = `{"version":7,"routes":[
 {"name":"r1","host":"a.example","path_prefix":"/x/","kind":"streaming","timeout_ms":6000,"service":"s1","resumable":true},
 {"name":"r2","host":"a.example","path_prefix":"/x/y/","kind":"non_idempotent","timeout_ms":1000,"traffic_split":[{"service":"s1","weight":0},{"service":"s2","weight":3}]},
 {"name":"r3","host":"b.example","path_prefix":"/","kind":"idempotent","timeout_ms":1000,"service":"s2","public":true}],
 "services":[{"name":"s1"},{"name":"s2","new_field":{"a":1}}],
 "tenants":[{"name":"t1","api_keys":["k1","k2"]},{"name":"t2","api_keys":["k3"]}],"unknown":true}`

func TestParseAndCompile(t *testing.T) {
	doc, err := Parse([]byte(validDocument))
	require.NoError(t, err)
	table := Compile(doc)
	require.Equal(t, "r2", table.Route("A.example:80", "/x/y/z").Name, "the longest prefix matches; the host's case and port are ignored")
	require.Equal(t, "r1", table.Route("a.example", "/x/yz").Name)
	require.Nil(t, table.Route("a.example", "/xy"))
	require.Equal(t, "t1", table.Tenant("k2").Name)
	require.Nil(t, table.Tenant("k9"))
	require.True(t, table.RequiresAPIKey())
	require.True(t, table.Route("a.example", "/x/").Repeatable())
	require.False(t, table.Route("a.example", "/x/y/").Repeatable())
	for _, draw := range []float64{0, 0.5, 0.999} {
		require.Equal(t, "s2", table.Route("a.example", "/x/y/").PickService(draw), "draw %v: a service with weight 0 must not be picked", draw)
	}
}

// TestDecode checks that Decode returns the same document as Parse: proxies use Decode for
// configurations that were validated before they were committed.
func TestDecode(t *testing.T) {
	want, err := Parse([]byte(validDocument))
	require.NoError(t, err)
	got, err := Decode([]byte(validDocument))
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = Decode([]byte(validDocument[:len(validDocument)-1]))
	require.Error(t, err)
}

// largeDocument returns a configuration with as many routes as the largest deployments add at once.
func largeDocument() []byte {
	const routes = 1700
	var text strings.Builder
	text.WriteString(`{"version":7,"services":[{"name":"s1"}],"routes":[`)
	for i := range routes {
		if i > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name":"r-%07x","host":"h%04x.example","path_prefix":"/p%05x/","kind":"streaming","timeout_ms":6000,`+
			`"target_latency_ms":1500,"priority":1,"service":"s1","max_attempts":1,"sticky":true,"resumable":false}`, i, i, i)
	}
	text.WriteString("]}")
	return []byte(text.String())
}

func BenchmarkParse(b *testing.B) {
	text := largeDocument()
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	text := largeDocument()
	for b.Loop() {
		if _, err := Decode(text); err != nil {
			b.Fatal(err)
		}
	}
}

func TestParseInvalid(t *testing.T) {
	for name, c := range map[string]struct{ old, new, path string }{
		"truncated":                        {`"unknown":true}`, ``, ""},
		"unknown service":                  {`"service":"s1"`, `"service":"s9"`, "/routes/0/service"},
		"unknown service in a split":       {`{"service":"s1","weight":0}`, `{"service":"s9","weight":1}`, "/routes/1/traffic_split/0/service"},
		"sum of weights is 0":              {`"weight":3`, `"weight":0`, "/routes/1/traffic_split"},
		"negative weight":                  {`"weight":3`, `"weight":-1`, "/routes/1/traffic_split/1/weight"},
		"timeout of 0":                     {`"timeout_ms":6000`, `"timeout_ms":0`, "/routes/0/timeout_ms"},
		"duplicate host and path prefix":   {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/"`, "/routes/1"},
		"API key of two tenants":           {`"k3"`, `"k1"`, "/tenants/1/api_keys/0"},
		"path prefix without a last slash": {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/y"`, "/routes/1/path_prefix"},
		"no version":                       {`"version":7,`, ``, "/"},
		"version is a string":              {`"version":7`, `"version":"7"`, "/version"},
		"routes is not an array":           {`"routes":[`, `"routes":3,"others":[`, "/routes"},
		"duplicate service name":           {`{"name":"s2"`, `{"name":"s1"`, "/services/1/name"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validDocument, c.old, c.new, 1)
			require.NotEqual(t, validDocument, text)
			_, err := Parse([]byte(text))
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, c.path, invalid.Path, "path of error %q", err)
		})
	}
}

// TestSplitSharesOfExtremeWeights checks that a traffic split keeps its shares where the weights' sum is too large
// for a float, or the weights are its smallest numbers.
func TestSplitSharesOfExtremeWeights(t *testing.T) {
	const draws = 1000
	for _, weight := range []float64{1e308, 1, 5e-324} {
		route := Route{Split: []ServiceWeight{{"a", weight}, {"b", 0}, {"c", weight}, {"d", weight}, {"e", weight}}}
		picked := map[string]int{}
		for i := range draws {
			picked[route.PickService(float64(i)/draws)]++
		}
		require.Equal(t, map[string]int{"a": draws / 4, "c": draws / 4, "d": draws / 4, "e": draws / 4}, picked, "weight %v", weight)
	}
}

// TestMilliseconds checks that no timeout becomes negative, which depends on the processor.
func TestMilliseconds(t *testing.T) {
	for _, ms := range []float64{1e13, 1e300, 9.3e12} {
		require.Equal(t, maxDuration, Milliseconds(ms))
	}
	require.Equal(t, 1500*time.Microsecond, Milliseconds(1.5))
	require.Zero(t, Milliseconds(0))
}
