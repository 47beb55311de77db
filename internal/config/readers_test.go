package config

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInvalidConfigurationsAreRefused guards against CONFIG by a configuration that was validated as one document
// and came into force as another: readers of one text that disagree about names, bytes, numbers, hosts or paths.
func TestInvalidConfigurationsAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ old, new string }{
		"unknown service beside a split":      {`"traffic_split":[`, `"service":"s9","traffic_split":[`},
		"empty service beside a split":        {`"traffic_split":[`, `"service":"","traffic_split":[`},
		"routes to a KV cache store":          {`"service":"s2","public"`, `"service":"vault","public"`},
		"splits to a KV cache store":          {`{"service":"s2","weight":3}`, `{"service":"vault","weight":3}`},
		"name in another case":                {`"services":[`, `"Routes":[],"services":[`},
		"optional name in another case":       {`"resumable":true`, `"resumable":true,"Public":true`},
		"name with a letter that folds":       {`"resumable":true`, `"resumable":true,"ſticky":true`},
		"name of a split in another case":     {`{"service":"s2","weight":3}`, `{"service":"s2","weight":3,"Weight":0}`},
		"name of a tenant in another case":    {`"name":"t2",`, `"name":"t2","Isolated":true,`},
		"name of a limit in another case":     {`"unknown":true`, `"limits":{"Max_body_bytes":1}`},
		"name of an engine in another case":   {`"name":"s1"`, `"name":"s1","engine":{"Max_concurrency":3}`},
		"routes given twice":                  {`"services":[`, `"routes":[{"host":"c.example","path_prefix":"/","timeout_ms":1,"service":"s2"}],"services":[`},
		"field of a route given twice":        {`"resumable":true`, `"resumable":true,"service":"s2"`},
		"unknown field given twice":           {`"new_field":{"a":1}`, `"new_field":{"a":1,"a":2}`},
		"host in another case":                {`"host":"b.example","path_prefix":"/"`, `"host":"A.Example","path_prefix":"/x/"`},
		"host with a port":                    {`"host":"b.example","path_prefix":"/"`, `"host":"a.example:80","path_prefix":"/x/"`},
		"host that no request can have":       {`"host":"b.example"`, `"host":"b example"`},
		"host that is not ASCII":              {`"host":"b.example"`, `"host":"bücher.example"`},
		"port without a host":                 {`"host":"b.example"`, `"host":":80"`},
		"path prefix with another escape":     {`"path_prefix":"/x/y/"`, `"path_prefix":"/%78/"`},
		"path prefix with a bad escape":       {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/%zz/"`},
		"path prefix with a torn escape":      {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/%2/"`},
		"path prefix with a query":            {`"path_prefix":"/x/y/"`, `"path_prefix":"/x?y/"`},
		"path prefix with a fragment":         {`"path_prefix":"/x/y/"`, `"path_prefix":"/x#y/"`},
		"path prefix with a line break":       {`"path_prefix":"/x/y/"`, `"path_prefix":"/x\ny/"`},
		"bytes that are not text":             {`"host":"b.example"`, "\"host\":\"b\xff.example\""},
		"bytes that are not text, in a key":   {`"k3"`, "\"k3\xff\""},
		"half of a surrogate pair":            {`"k3"`, `"k3\ud800"`},
		"key with blanks around it":           {`"k3"`, `"k1 "`},
		"key with a line break":               {`"k3"`, `"k3\r\nX-Tenant-Name: t1"`},
		"tenant name with a line break":       {`"name":"t2"`, `"name":"t2\r\nX-Request-Id: 1"`},
		"tenant name with blanks around it":   {`"name":"t2"`, `"name":" t1"`},
		"store address with a line break":     {`"172.20.0.2:8781"`, `"172.20.0.2:8781\r\nX: 1"`},
		"store address without a port":        {`"172.20.0.2:8781"`, `"172.20.0.2"`},
		"timeout that is rounded to 0":        {`"timeout_ms":6000`, `"timeout_ms":1e-400`},
		"timeout below a nanosecond":          {`"timeout_ms":6000`, `"timeout_ms":1e-9`},
		"weights that are rounded to 0":       {`"weight":3`, `"weight":1e-400`},
		"a weight that is rounded to 0":       {`"weight":0`, `"weight":1e-400`},
		"number that no float holds":          {`"unknown":true`, `"limits":{"unknown":1e400}`},
		"timeout that is minus 0":             {`"timeout_ms":6000`, `"timeout_ms":-0.0`},
		"version that is not above 0":         {`"version":7`, `"version":0`},
		"text behind the document":            {`"unknown":true}`, `"unknown":true}{}`},
		"byte order mark":                     {`{"version":7`, "\ufeff" + `{"version":7`},
		"service that is null":                {`"service":"s1","resumable"`, `"service":null,"resumable"`},
		"empty split":                         {`"traffic_split":[{"service":"s1","weight":0},{"service":"s2","weight":3}]`, `"traffic_split":[]`},
		"split that is null beside a service": {`"service":"s1","resumable"`, `"service":"s1","traffic_split":null,"resumable"`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(readersDocument, c.old, c.new, 1)
			require.NotEqual(t, readersDocument, text)
			_, err := Parse([]byte(text))
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid, "it was taken: %s", text)
		})
	}
}

// readersDocument is validDocument with a KV cache store.
var readersDocument = strings.Replace(validDocument, `{"name":"s1"}`, `{"name":"s1"},{"name":"vault","kv_store_address":"172.20.0.2:8781","zone":"z"}`, 1)

// TestAcceptedRoutesAreServed guards against CONFIG by an acknowledged route or key that is never served, because the
// routing table compares something else than requests bring: hosts with a port, IPv6 literals, escaped prefixes.
func TestAcceptedRoutesAreServed(t *testing.T) {
	for name, c := range map[string]struct{ old, new string }{
		"as it is":                        {``, ``},
		"host with a port":                {`"host":"b.example"`, `"host":"b.example:8443"`},
		"host in capitals":                {`"host":"b.example"`, `"host":"B.EXAMPLE"`},
		"IPv6 literal":                    {`"host":"b.example"`, `"host":"[2001:db8::1]"`},
		"IPv6 literal with a port":        {`"host":"b.example"`, `"host":"[2001:DB8::1]:8443"`},
		"two IPv6 literals":               {`"host":"b.example","path_prefix":"/"`, `"host":"[2001:db8::2]","path_prefix":"/","timeout_ms":5,"service":"s1"},{"host":"[2001:db8::1]","path_prefix":"/"`},
		"absolute host name":              {`"host":"b.example"`, `"host":"b.example."`},
		"escaped blank":                   {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/a%20b/"`},
		"blank":                           {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/a b/"`},
		"escaped slash":                   {`"path_prefix":"/x/y/"`, `"path_prefix":"/x%2Fy/"`},
		"escaped and plain slash":         {`"host":"b.example","path_prefix":"/"`, `"host":"a.example","path_prefix":"/x%2fy/"`},
		"escaped percent sign":            {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/100%25/"`},
		"escaped escape and its meaning":  {`"host":"b.example","path_prefix":"/"`, `"host":"a.example","path_prefix":"/x/%2579/"`},
		"letters that are not ASCII":      {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/bücher/"`},
		"escaped letter":                  {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/%7e/"`},
		"dots":                            {`"path_prefix":"/x/y/"`, `"path_prefix":"/x/../"`},
		"empty segment":                   {`"path_prefix":"/x/y/"`, `"path_prefix":"//"`},
		"tiny weights":                    {`"weight":3`, `"weight":5e-324`},
		"huge timeout":                    {`"timeout_ms":6000`, `"timeout_ms":1e300`},
		"unknown fields in other cases":   {`"unknown":true`, `"Unknown2":{"routes":[],"Name":1},"unknown3":[{"A":1},{"a":2}]`},
		"key with a letter not ASCII":     {`"k3"`, `"schlüssel"`},
		"key with a blank in it":          {`"k3"`, `"k 3"`},
		"key given twice to one tenant":   {`"k1","k2"`, `"k1","k1"`},
		"tenants that are null":           {`"tenants":[{"name":"t1","api_keys":["k1","k2"]},{"name":"t2","api_keys":["k3"]}]`, `"tenants":null`},
		"escapes in the text of the JSON": {`"host":"b.example"`, `"host":"\u0062.example"`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(readersDocument, c.old, c.new, 1)
			_, err := Parse([]byte(text))
			require.NoError(t, err, text)
			require.NoError(t, disagreement([]byte(text)), text)
		})
	}
}

// TestReadersAgree changes a valid configuration at random in a few places. Each result must be refused, or all
// readers must get the same document from it and every route and key must be found by its own requests.
func TestReadersAgree(t *testing.T) {
	const documents = 20000
	random := rand.New(rand.NewPCG(92, 1))
	accepted := 0
	for range documents {
		text := mutate(random, readersDocument)
		if _, err := Parse(text); err == nil {
			accepted++
		}
		require.NoError(t, disagreement(text), "%s", text)
	}
	t.Logf("%d of %d documents were accepted", accepted, documents)
	require.Greater(t, accepted, documents/20)
	require.Less(t, accepted, documents*19/20)
}

func FuzzReadersAgree(f *testing.F) {
	f.Add([]byte(readersDocument))
	random := rand.New(rand.NewPCG(92, 2))
	for range 50 {
		f.Add(mutate(random, readersDocument))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if err := disagreement(text); err != nil {
			t.Error(err)
		}
	})
}

// mutate returns a document that differs from text in one to three places.
func mutate(random *rand.Rand, text string) []byte {
	for range 1 + random.IntN(3) {
		text = mutations[random.IntN(len(mutations))](random, text)
	}
	return []byte(text)
}

// mutations are changes to the text of a document.
var mutations = []func(random *rand.Rand, text string) string{
	replaceString(`"a.example"`, `"b.example"`),
	replaceString(`"A.example"`, `"a.example:80"`, `"a.example."`, `"[::1]"`, `"[::1]:80"`, `"::1"`, `"%61.example"`, `"\u0061.example"`, "\"a\xc0.example\"", `"a.example "`, `""`, `"K.example"`),
	replaceString(`"/x/"`, `"/x/y/"`, `"/"`, `"/%78/"`, `"/x%2fy/"`, `"/x%2Fy/"`, `"/x/%79/"`, `"/x%/"`, `"/x%25/"`, `"//"`, `"/x/./"`, `"/é/"`, `"/%c3%a9/"`, `"/%C3%A9/"`, `"/x y/"`, `"/x%20y/"`, `"/x+y/"`, `"/x\u0000/"`, `"x/"`, `"/x?/"`, `"/x#/"`, `"/x;y/"`, `"/x%2579/"`),
	replaceString(`"s1"`, `"s2"`, `"vault"`, `"s9"`, `""`, `"S1"`, `null`, `"s1\u0000"`),
	replaceString(`"k1"`, `"k2"`, `"k3"`, `" k1"`, `"k1\t"`, `"k\n1"`, "\"k\xff1\"", `"\udc00"`, `"K1"`),
	replaceString(`"t1"`, `"t2"`, `"T1"`, `" t1"`, `"t1\r\nX: 1"`),
	replaceNumber,
	repeatMember,
	changeCaseOfName,
	dropByte,
	insertByte,
}

// replaceString returns a mutation that replaces one string of the document by one of the given ones.
func replaceString(values ...string) func(random *rand.Rand, text string) string {
	return func(random *rand.Rand, text string) string {
		spans := stringSpans(text)
		at := spans[random.IntN(len(spans))]
		for range 4 { // prefer strings of the kind that the values are for
			if strings.HasPrefix(text[at[0]:at[1]], values[0][:2]) {
				break
			}
			at = spans[random.IntN(len(spans))]
		}
		return text[:at[0]] + values[random.IntN(len(values))] + text[at[1]:]
	}
}

// stringSpans returns where the strings of a document are, names included.
func stringSpans(text string) (spans [][2]int) {
	for i := 0; i < len(text); i++ {
		if text[i] != '"' {
			continue
		}
		end := i + 1
		for end < len(text) && text[end] != '"' {
			if text[end] == '\\' {
				end++
			}
			end++
		}
		if end = min(end+1, len(text)); end > i {
			spans = append(spans, [2]int{i, end})
			i = end - 1
		}
	}
	if spans == nil {
		return [][2]int{{0, 0}}
	}
	return spans
}

func replaceNumber(random *rand.Rand, text string) string {
	numbers := []string{"0", "-0", "0.0", "1e-400", "1e400", "1e300", "5e-324", "1e-9", "7.0", "7e0", "-1", "9007199254740993", "1.5", `"7"`, "null", "true"}
	var starts []int
	for i := 1; i < len(text); i++ {
		if text[i-1] == ':' && text[i] >= '0' && text[i] <= '9' {
			starts = append(starts, i)
		}
	}
	if starts == nil {
		return text
	}
	start := starts[random.IntN(len(starts))]
	end := start
	for end < len(text) && strings.IndexByte("0123456789.eE+-", text[end]) >= 0 {
		end++
	}
	return text[:start] + numbers[random.IntN(len(numbers))] + text[end:]
}

// repeatMember gives a member of an object a second time, at the front of the object or of another one.
func repeatMember(random *rand.Rand, text string) string {
	members := []string{
		`"routes":[]`, `"routes":[{"host":"a.example","path_prefix":"/z/","timeout_ms":1,"service":"s2","public":true}]`, `"service":"s2"`, `"service":"s9"`, `"public":true`,
		`"host":"c.example"`, `"path_prefix":"/q/"`, `"timeout_ms":5`, `"traffic_split":[{"service":"s2","weight":1}]`, `"weight":0`, `"name":"s1"`, `"isolated":true`,
		`"version":9`, `"api_keys":["k1"]`, `"tenants":[]`, `"services":[]`, `"limits":{"max_body_bytes":1,"max_body_bytes":2}`, `"kv_store_address":"10.0.0.1:80"`,
	}
	var opened []int
	for i := range len(text) {
		if text[i] == '{' {
			opened = append(opened, i+1)
		}
	}
	if opened == nil {
		return text
	}
	at := opened[random.IntN(len(opened))]
	member := members[random.IntN(len(members))]
	if random.IntN(2) == 0 {
		member = strings.Replace(member, `"`, `"`+strings.ToUpper(member[1:2]), 1)
		member = member[:2] + member[3:]
	}
	return text[:at] + member + "," + text[at:]
}

func changeCaseOfName(random *rand.Rand, text string) string {
	spans := stringSpans(text)
	at := spans[random.IntN(len(spans))]
	return text[:at[0]] + strings.ToUpper(text[at[0]:at[1]]) + text[at[1]:]
}

func dropByte(random *rand.Rand, text string) string {
	if text == "" {
		return text
	}
	at := random.IntN(len(text))
	return text[:at] + text[at+1:]
}

func insertByte(random *rand.Rand, text string) string {
	at := random.IntN(len(text) + 1)
	bytes := "{}[]\",:0 \\\x00\x7f\x80\xffA%/"
	return text[:at] + string(bytes[random.IntN(len(bytes))]) + text[at:]
}

// disagreement returns how the readers of a configuration disagree about a text that Parse accepts, nil if they
// don't or if it is refused.
func disagreement(text []byte) error {
	doc, err := Parse(text)
	if err != nil {
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			return fmt.Errorf("refused with an error that isn't the operator's: %w", err)
		}
		return nil
	}
	decoded, err := Decode(text)
	if err != nil || !reflect.DeepEqual(doc, decoded) {
		return fmt.Errorf("proxies decode another document: %w", err)
	}
	if err := exactNames(text, doc); err != nil {
		return err
	}
	table := Compile(doc)
	for i := range doc.Routes {
		if err := routeIsServed(table, doc, &doc.Routes[i]); err != nil {
			return err
		}
	}
	for i := range doc.Tenants {
		for _, key := range doc.Tenants[i].APIKeys {
			request, err := readRequest("a.example", "/", key)
			if err != nil {
				return fmt.Errorf("key %q: %w", key, err)
			}
			if owner := table.Tenant(request.Header.Get("Api-Key")); owner == nil || owner.Name != doc.Tenants[i].Name {
				return fmt.Errorf("key %q of %q is taken for that of %v", key, doc.Tenants[i].Name, owner)
			}
		}
	}
	return nil
}

// routeIsServed sends a request to the host and path prefix of a route as they are written, and checks that it is
// routed by that route to services that the route names, with weights above 0.
func routeIsServed(table *Table, doc *Document, route *Route) error {
	escaped := strings.NewReplacer(" ", "%20").Replace(route.PathPrefix) // a request line can't have a blank
	request, err := readRequest(route.Host, escaped, "")
	if err != nil {
		return fmt.Errorf("route %s%s: %w", route.Host, route.PathPrefix, err)
	}
	found := table.RouteOf(request)
	if found != route {
		return fmt.Errorf("route %q %q: a request for it is routed by %+v", route.Host, route.PathPrefix, found)
	}
	if route.Timeout() <= 0 {
		return fmt.Errorf("route %q %q: its timeout is %v", route.Host, route.PathPrefix, route.Timeout())
	}
	known := map[string]bool{}
	for i := range doc.Services {
		known[doc.Services[i].Name] = doc.Services[i].KVStoreAddress == ""
	}
	for draw := 0.0; draw < 1; draw += 1.0 / 64 {
		picked := route.PickService(draw)
		if !known[picked] {
			return fmt.Errorf("route %q %q: goes to %q, which isn't a service of the document", route.Host, route.PathPrefix, picked)
		}
		if len(route.Split) > 0 && !slices.ContainsFunc(route.Split, func(w ServiceWeight) bool { return w.Service == picked && w.Weight > 0 }) {
			return fmt.Errorf("route %q %q: goes to %q, which has no weight", route.Host, route.PathPrefix, picked)
		}
	}
	return nil
}

// readRequest returns a request as the HTTP server of a proxy reads it.
func readRequest(host, path, key string) (*http.Request, error) {
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, host)
	if key != "" {
		fmt.Fprintf(&text, "Api-Key: %s\r\n", key)
	}
	text.WriteString("\r\n")
	return http.ReadRequest(bufio.NewReader(&text))
}

// exactNames checks that a document is what a reader gets that takes names exactly, the last of repeated ones, and
// numbers as they are written.
func exactNames(text []byte, doc *Document) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return err
	}
	return compareExact("", value, reflect.ValueOf(doc).Elem())
}

func compareExact(path string, value any, field reflect.Value) error {
	mismatch := func() error { return fmt.Errorf("%s: read as %v, written as %v", path, field, value) }
	switch {
	case value == nil:
		if !field.IsZero() {
			return mismatch()
		}
		return nil
	case field.Kind() == reflect.Pointer:
		if field.IsNil() {
			return mismatch()
		}
		return compareExact(path, value, field.Elem())
	}
	switch field.Kind() {
	case reflect.Struct:
		members, ok := value.(map[string]any)
		if !ok {
			return mismatch()
		}
		for i := range field.NumField() {
			name := field.Type().Field(i).Tag.Get("json")
			if name == "-" {
				continue
			}
			if err := compareExact(path+"/"+name, members[name], field.Field(i)); err != nil {
				return err
			}
		}
	case reflect.Slice:
		items, ok := value.([]any)
		if !ok || len(items) != field.Len() {
			return mismatch()
		}
		for i := range items {
			if err := compareExact(path+"/"+strconv.Itoa(i), items[i], field.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Float64:
		number, err := strconv.ParseFloat(string(value.(json.Number)), 64)
		isZero := strings.Trim(strings.SplitN(strings.ToLower(string(value.(json.Number))), "e", 2)[0], "-0.") == ""
		if err != nil || number != field.Float() || (number == 0) != isZero {
			return mismatch()
		}
	default:
		if fmt.Sprint(value) != fmt.Sprint(field) {
			return mismatch()
		}
	}
	return nil
}

// TestReadersTestFindsFaults checks that disagreement finds planted faults, one for each pair of readers.
func TestReadersTestFindsFaults(t *testing.T) {
	doc, err := Parse([]byte(readersDocument))
	require.NoError(t, err)
	for name, plant := range map[string]func(*Document){
		"another timeout":    func(d *Document) { d.Routes[0].TimeoutMS++ },
		"a route is missing": func(d *Document) { d.Routes = d.Routes[1:] },
		"public":             func(d *Document) { d.Routes[0].Public = true },
		"another key":        func(d *Document) { d.Tenants[0].APIKeys = []string{"k1", "k9"} },
	} {
		t.Run(name, func(t *testing.T) {
			changed := *doc
			changed.Routes, changed.Tenants = slices.Clone(doc.Routes), slices.Clone(doc.Tenants)
			plant(&changed)
			require.Error(t, exactNames([]byte(readersDocument), &changed))
		})
	}
	shadowed := *doc
	shadowed.Routes = append(slices.Clone(doc.Routes), doc.Routes[0])
	require.Error(t, routeIsServed(Compile(&shadowed), &shadowed, &shadowed.Routes[3]), "a route behind another of the same host and prefix")
	require.NotEmpty(t, maps.Keys(Compile(doc).services))
}
