package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaJSON []byte

var (
	schema  = compileSchema()
	printer = message.NewPrinter(language.English)
)

// InvalidError says what of a configuration is wrong, by its path in the document.
type InvalidError struct {
	Path   string // JSON pointer
	Reason string
}

func (e *InvalidError) Error() string { return "configuration: " + e.Path + ": " + e.Reason }

func compileSchema() *jsonschema.Schema {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err) // the schema is part of the program
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("configuration.json", parsed); err != nil {
		panic(err)
	}
	return compiler.MustCompile("configuration.json")
}

// Parse reads a configuration whole and checks it by schema and meaning. It fails with an *InvalidError.
func Parse(text []byte) (*Document, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, &InvalidError{"", "it cannot be read: " + err.Error()}
	}
	if err := schema.Validate(value); err != nil {
		return nil, schemaError(err)
	}
	doc := new(Document)
	if err := json.Unmarshal(text, doc); err != nil {
		return nil, &InvalidError{"", err.Error()}
	}
	return doc, checkDocument(doc)
}

// Read reads a configuration that Parse accepted before, without checking it again: the schema takes five times as long as the reading.
func Decode(text []byte) (*Document, error) {
	doc := new(Document)
	if err := json.Unmarshal(text, doc); err != nil {
		return nil, &InvalidError{"", err.Error()}
	}
	return doc, nil
}

// describe names the deepest place at which the schema was not met.
func schemaError(err error) error {
	failed, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return &InvalidError{"", err.Error()}
	}
	for len(failed.Causes) > 0 {
		if _, group := failed.ErrorKind.(*kind.AnyOf); group {
			break
		}
		failed = failed.Causes[0]
	}
	return &InvalidError{"/" + strings.Join(failed.InstanceLocation, "/"), failed.ErrorKind.LocalizedString(printer)}
}

// check holds a document to what a schema cannot say.
func checkDocument(doc *Document) error {
	services := map[string]bool{}
	for i, s := range doc.Services {
		if services[s.Name] {
			return invalidAt("/services/%d/name", i)("%q is named twice", s.Name)
		}
		services[s.Name] = true
	}
	places := map[[2]string]bool{}
	for i, r := range doc.Routes {
		place := [2]string{r.Host, r.PathPrefix}
		if places[place] {
			return invalidAt("/routes/%d", i)("host %q and prefix %q are another route's", r.Host, r.PathPrefix)
		}
		places[place] = true
		if err := checkTargets(i, &r, services); err != nil {
			return err
		}
	}
	return checkTenants(doc.Tenants)
}

func checkTargets(i int, r *Route, services map[string]bool) error {
	if len(r.Split) == 0 {
		if !services[r.Service] {
			return invalidAt("/routes/%d/service", i)("no service is named %q", r.Service)
		}
		return nil
	}
	sum := 0.0
	for j, w := range r.Split {
		if !services[w.Service] {
			return invalidAt("/routes/%d/traffic_split/%d/service", i, j)("no service is named %q", w.Service)
		}
		sum += w.Weight
	}
	if sum <= 0 {
		return invalidAt("/routes/%d/traffic_split", i)("the weights add up to 0")
	}
	return nil
}

func checkTenants(tenants []Tenant) error {
	owners, names := map[string]string{}, map[string]bool{}
	for i, t := range tenants {
		if names[t.Name] {
			return invalidAt("/tenants/%d/name", i)("%q is named twice", t.Name)
		}
		names[t.Name] = true
		for j, key := range t.APIKeys {
			if owner, taken := owners[key]; taken && owner != t.Name {
				return invalidAt("/tenants/%d/api_keys/%d", i, j)("the key is also %q's", owner)
			}
			owners[key] = t.Name
		}
	}
	return nil
}

func invalidAt(path string, args ...any) func(what string, args ...any) error {
	where := fmt.Sprintf(path, args...)
	return func(what string, args ...any) error { return &InvalidError{where, fmt.Sprintf(what, args...)} }
}
