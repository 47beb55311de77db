package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"reflect"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"nettlefold/internal/strictjson"
)

//go:embed schema.json
var schemaJSON []byte

var (
	schema  = compileSchema()
	printer = message.NewPrinter(language.English)

	documentShape = strictjson.ShapeOf(reflect.TypeFor[Document]())
)

// InvalidError is an error in a configuration. Its text is reported to operators, whose tools match the
// reasons, so these must not be reworded.
type InvalidError struct {
	Path   string // JSON pointer to the invalid value
	Reason string
}

func (e *InvalidError) Error() string { return "configuration: " + e.Path + ": " + e.Reason }

// compileSchema compiles the embedded schema. It panics if the schema is invalid, as that is an error
// in the program.
func compileSchema() *jsonschema.Schema {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("configuration.json", parsed); err != nil {
		panic(err)
	}
	return compiler.MustCompile("configuration.json")
}

// Parse decodes a configuration, validates it against the schema and checks what the schema can't
// express. It fails with an *InvalidError.
func Parse(text []byte) (*Document, error) {
	if err := checkText(text); err != nil {
		return nil, err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, &InvalidError{"", "it cannot be read: " + err.Error()}
	}
	if err := schema.Validate(value); err != nil {
		return nil, schemaError(err)
	}
	doc, err := Decode(text)
	if err != nil {
		return nil, err
	}
	return doc, checkDocument(doc)
}

// checkText checks that all readers of a configuration get the same document: Decode, the schema's reader,
// which takes names exactly, the operator's tools and proxies of other builds.
func checkText(text []byte) error {
	err := documentShape.Check(text)
	var ambiguous *strictjson.AmbiguousError
	if errors.As(err, &ambiguous) {
		return &InvalidError{ambiguous.Path, ambiguous.Reason}
	}
	return err
}

// Decode decodes a configuration that was accepted before, also by another build whose check differs. It
// doesn't validate it again: what is committed is in force, and validation takes several times as long.
func Decode(text []byte) (*Document, error) {
	doc := new(Document)
	if err := json.Unmarshal(text, doc); err != nil {
		return nil, &InvalidError{"", err.Error()}
	}
	doc.Digest = TextDigest(text)
	return doc, nil
}

// schemaError converts a validation error to an *InvalidError with the path of the innermost value
// that doesn't match the schema.
func schemaError(err error) error {
	failed, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return &InvalidError{"", err.Error()}
	}
	for len(failed.Causes) > 0 {
		if _, anyOf := failed.ErrorKind.(*kind.AnyOf); anyOf {
			break
		}
		failed = failed.Causes[0]
	}
	return &InvalidError{"/" + strings.Join(failed.InstanceLocation, "/"), failed.ErrorKind.LocalizedString(printer)}
}

// checkDocument checks what the schema can't express: unique names and routes, API keys that
// belong to one tenant each, and references to services that exist.
func checkDocument(doc *Document) error {
	services := map[string]*Service{}
	for i := range doc.Services {
		s := &doc.Services[i]
		if services[s.Name] != nil {
			return invalidAt("/services/%d/name", i)("%q is named twice", s.Name)
		}
		services[s.Name] = s
		if err := checkStore(s); err != nil {
			return invalidAt("/services/%d/kv_store_address", i)("%v", err)
		}
	}
	matches := map[[2]string]bool{}
	for i := range doc.Routes {
		r := &doc.Routes[i]
		match := [2]string{canonicalHost(r.Host), canonicalPath(r.PathPrefix)}
		if matches[match] {
			return invalidAt("/routes/%d", i)("host %q and prefix %q are another route's", r.Host, r.PathPrefix)
		}
		matches[match] = true
		if err := checkRoute(i, r); err != nil {
			return err
		}
		if err := checkTargets(i, r, services); err != nil {
			return err
		}
	}
	return checkTenants(doc.Tenants)
}

// checkRoute checks that requests can have the host and path prefix of the i-th route, and that its timeout isn't
// rounded to 0.
func checkRoute(i int, r *Route) error {
	if err := checkHost(r.Host); err != nil {
		return invalidAt("/routes/%d/host", i)("%v", err)
	}
	if err := checkPathPrefix(r.PathPrefix); err != nil {
		return invalidAt("/routes/%d/path_prefix", i)("%v", err)
	}
	if r.Timeout() <= 0 {
		return invalidAt("/routes/%d/timeout_ms", i)("it is less than a nanosecond")
	}
	return nil
}

// checkTargets checks the service and the traffic split of the i-th route: whichever of them is used, both name
// services that requests can be sent to.
func checkTargets(i int, r *Route, services map[string]*Service) error {
	if len(r.Split) == 0 || r.Service != "" {
		if reason := checkTarget(services, r.Service); reason != "" {
			return invalidAt("/routes/%d/service", i)("%s", reason)
		}
	}
	if len(r.Split) == 0 {
		return nil
	}
	sum := 0.0
	for j, w := range r.Split {
		if reason := checkTarget(services, w.Service); reason != "" {
			return invalidAt("/routes/%d/traffic_split/%d/service", i, j)("%s", reason)
		}
		sum += w.Weight
	}
	if sum <= 0 {
		return invalidAt("/routes/%d/traffic_split", i)("the weights add up to 0")
	}
	return nil
}

// checkTarget returns why requests can't be sent to the service with the given name, "" if they can.
func checkTarget(services map[string]*Service, name string) (reason string) {
	switch s := services[name]; {
	case s == nil:
		return fmt.Sprintf("no service is named %q", name)
	case s.KVStoreAddress != "":
		return fmt.Sprintf("%q is a KV cache store, which serves no requests", name)
	}
	return ""
}

// checkStore checks the address of a KV cache store, which is sent to backends in a header.
func checkStore(s *Service) error {
	if s.KVStoreAddress == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(s.KVStoreAddress); err != nil {
		return err
	}
	return checkHeaderValue(s.KVStoreAddress)
}

// checkTenants checks that tenant names are unique, that no two tenants share an API key, and that headers can
// carry both.
func checkTenants(tenants []Tenant) error {
	owners, names := map[string]string{}, map[string]bool{}
	for i, t := range tenants {
		if names[t.Name] {
			return invalidAt("/tenants/%d/name", i)("%q is named twice", t.Name)
		}
		names[t.Name] = true
		if err := checkHeaderValue(t.Name); err != nil {
			return invalidAt("/tenants/%d/name", i)("%v", err)
		}
		for j, key := range t.APIKeys {
			if err := checkHeaderValue(key); err != nil {
				return invalidAt("/tenants/%d/api_keys/%d", i, j)("%v", err)
			}
			if owner, exists := owners[key]; exists && owner != t.Name {
				return invalidAt("/tenants/%d/api_keys/%d", i, j)("the key is also %q's", owner)
			}
			owners[key] = t.Name
		}
	}
	return nil
}

// invalidAt formats a path and returns a function that formats a reason and returns an *InvalidError
// with both.
func invalidAt(path string, args ...any) func(reason string, args ...any) error {
	formatted := fmt.Sprintf(path, args...)
	return func(reason string, args ...any) error { return &InvalidError{formatted, fmt.Sprintf(reason, args...)} }
}
