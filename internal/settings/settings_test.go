package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	xsdvalidate "github.com/terminalstatic/go-xsd-validate"
	"pgregory.net/rapid"

	"nettlefold/internal/fleet/control"
)

// schema is the published one, as a validator reads it. The program itself has no part of that validator.
func schema(t *testing.T) *xsdvalidate.XsdHandler {
	t.Helper()
	if err := xsdvalidate.Init(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(xsdvalidate.Cleanup)
	h, err := xsdvalidate.NewXsdHandlerUrl("../../deploy/nettlefold.xsd", xsdvalidate.ParsErrDefault)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Free)
	return h
}

// agree has the program and the schema judge a document, and gives what the program says.
func agree(t interface{ Fatalf(string, ...any) }, h *xsdvalidate.XsdHandler, doc string) error {
	_, mine := Read([]byte(doc))
	theirs := h.ValidateMem([]byte(doc), xsdvalidate.ParsErrDefault)
	if (mine == nil) != (theirs == nil) {
		t.Fatalf("the program says %v, the schema %v, of\n%s", mine, theirs, doc)
	}
	return mine
}

func TestProgramAndSchemaAgreeOnFiles(t *testing.T) {
	h := schema(t)
	files, _ := filepath.Glob("testdata/*/*.xml")
	files = append(files, "../../deploy/nettlefold.xml", "../../deploy/fleet.xml", "../../deploy/control.xml")
	if len(files) < 20 {
		t.Fatalf("only %d files", len(files))
	}
	for _, path := range files {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(raw), "<!DOCTYPE") {
			if _, err := Read(raw); err == nil || !strings.Contains(err.Error(), "document type") {
				t.Errorf("%s: %v, want it refused for its document type", path, err)
			}
			continue
		}
		if err := agree(t, h, string(raw)); (err == nil) != !strings.Contains(path, "/bad/") {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// TestProgramAndSchemaAgreeOnAny draws documents of the settings' elements and attributes, right, wrong, missing, twice and
// in the wrong place.
func TestProgramAndSchemaAgreeOnAny(t *testing.T) {
	h := schema(t)
	good := 0
	rapid.Check(t, func(t *rapid.T) {
		values := map[string][]string{
			"words": {"yes", "no", "true", ""},
			"least": {"32", "1", "99999", "0", "100000", "032", "-1", ""}, "most": {"64", "8", "x"}, "meetings": {"64", "6.4"}, "users": {"225", " 225"},
			"format": {"text", "json", "xml"}, "level": {"debug", "info", "INFO"}, "address": {"127.0.0.1:1", "[::1]:65535", "host:0", "host:65536", ":80"},
			"site": {"main", "a b", ""}, "enabled": {"yes", "no", "true"}, "timeout-ms": {"20", "200", "19", "201", " 50"},
			"protocol": {"2", "3", "4"}, "user": {"mixer", "ü"}, "password-file": {"/a", "/a b", strings.Repeat("x", 1024), strings.Repeat("x", 1025)},
			"authorities": {"/ca"}, "server": {"s.internal"}, "certificate": {"/c"}, "key": {"/k"},
			"listen": {"127.0.0.1:7946", "7946"}, "name": {"main", "a", ""}, "alone": {"yes", "no", "1"}, "key-file": {"/k", " "},
			"group": {"g", "g h"}, "forget": {"1h", "5s", "4s", "1d", "-1m", "99999s", "10000m"}, "to": {"m1", "m 1"},
			"members": {"2", "9999", "1", "02", "10000"}, "region": {"east", "a b"},
			"open": {"4096", "10", "999999", "9", "1000000", "010", "-10"}, "idle": {"2048", "1", "0", " 5"},
			"handshakes": {"500", "1", "99999", "100000", "1.5"},
			"window":     {"10s", "1s", "600s", "10m", "0s", "601s", "11m", "1h", "010s"},
		}
		attributes := map[string][]string{"logging": {"format", "level"}, "admin": {"address"}, "login": {"user", "password-file"},
			"store": {"address", "site", "enabled", "timeout-ms", "protocol"}, "tls": {"authorities", "server"}, "identity": {"certificate", "key"},
			"fleet":  {"listen", "site", "alone", "key-file", "group", "forget", "members"},
			"subset": {"least", "most", "meetings", "users"},
			"site":   {"name"}, "join": {"address"}, "route": {"to", "address"},
			"control": {"region", "window", "words"}, "relay": {"name", "region", "address"}, "connections": {"open", "idle", "handshakes"}}
		within := map[string][]string{"nettlefold": {"logging", "listeners", "connections", "fleet", "control", "store", "subset"},
			"control": {"relay"}, "fleet": {"site", "join", "route"},
			"listeners": {"admin"}, "store": {"login", "tls"}, "tls": {"identity"}}
		odd := rapid.IntRange(0, 3).Draw(t, "odd") == 0 // most documents are nearly right
		rare := func(what string) bool { return odd && rapid.IntRange(0, 9).Draw(t, what) == 0 }
		var write func(name string) string
		write = func(name string) string {
			var b strings.Builder
			b.WriteString("<" + name)
			if name == "nettlefold" {
				b.WriteString(` xmlns="` + Namespace + `"`)
			}
			for _, a := range attributes[name] {
				if rare("leave") {
					continue
				}
				v := values[a][0]
				if rare("value") {
					v = rapid.SampledFrom(values[a]).Draw(t, a)
				}
				fmt.Fprintf(&b, " %s=%q", a, v)
			}
			if rare("more") {
				b.WriteString(` other="1"`)
			}
			b.WriteString(">")
			for _, e := range within[name] {
				for n := rapid.IntRange(0, 1).Draw(t, "with "+e); n > 0; n-- {
					b.WriteString(write(e))
					if rare("twice") {
						b.WriteString(write(e))
					}
				}
			}
			if rare("text") {
				b.WriteString(rapid.SampledFrom([]string{"x", " ", "<other/>", "<!-- -->"}).Draw(t, "text"))
			}
			b.WriteString("</" + name + ">")
			return b.String()
		}
		if agree(t, h, write("nettlefold")) == nil {
			good++
		}
	})
	if good < 10 {
		t.Errorf("only %d good documents were drawn", good)
	}
}

func TestExampleIsReadWhole(t *testing.T) {
	s, err := Load("../../deploy/nettlefold.xml")
	if err != nil {
		t.Fatal(err)
	}
	st := s.Store
	if !s.Logging.JSON || s.Admin != "127.0.0.1:19090" || st == nil || st.Site != "main" || !st.Enabled || st.Timeout != 200*time.Millisecond ||
		st.Protocol != 3 || st.User != "mixer" || st.PasswordFile == "" || st.TLS == nil || st.TLS.Server != "store.internal" {
		t.Errorf("%+v %+v", s, st)
	}
	if s, err := Load(""); err != nil || s.Store != nil || s.Admin != "" {
		t.Errorf("no file: %+v, %v", s, err)
	}
	s, err = Load("../../deploy/fleet.xml")
	if err != nil {
		t.Fatal(err)
	}
	want := &Fleet{Listen: "127.0.0.1:7946", Site: "a", Sites: []string{"a", "b", "c"}, Group: "nettlefold", Forget: time.Hour,
		Join: []string{"127.0.1.1:7946", "127.0.2.1:7946"}, Routes: map[string]string{"mixer-c1": "127.0.3.1:7947"},
		KeyFile: "/etc/nettlefold/fleet.key", Members: 1024}
	if !reflect.DeepEqual(s.Fleet, want) {
		t.Errorf("%+v, want %+v", s.Fleet, want)
	}
	if got := s.Differs(Settings{}); !slices.Contains(got, "fleet") {
		t.Errorf("without its fleet it differs in %q", got)
	}
	if s, err = Load("testdata/good/subset.xml"); err != nil || *s.Subset != (Subset{Least: 80, Most: 80, Meetings: 64, Users: 1}) {
		t.Errorf("%+v, %v", s.Subset, err)
	}
	if got := s.Differs(Settings{}); !slices.Equal(got, []string{"subset"}) {
		t.Errorf("without its subset it differs in %q", got)
	}
	if s, err := Load("testdata/good/subset-plain.xml"); err != nil || *s.Subset != (Subset{Least: 32, Most: 64, Meetings: 64, Users: 225}) {
		t.Errorf("%+v, %v", s.Subset, err)
	}
	s, err = Load("../../deploy/control.xml")
	if err != nil {
		t.Fatal(err)
	}
	if c := s.Control; c.Region != "east" || c.Window != 2*time.Second || len(c.Relays) != 7 ||
		c.Relays[6] != (control.Seat{Name: "r-7", Region: "south", Address: "127.0.0.7:7101"}) || c.Words {
		t.Errorf("%+v", c)
	}
	if with, err := Load("testdata/good/control-words.xml"); err != nil || !with.Control.Words {
		t.Errorf("%v: words are not read", err)
	}
	if r, err := s.Control.Seat("r-7"); err != nil || r != s.Control.Relays[6] {
		t.Errorf("%v, %v", r, err)
	}
	if _, err := s.Control.Seat("r-8"); err == nil {
		t.Error("r-8 is no relay")
	}
	if got := s.Differs(Settings{}); !slices.Contains(got, "control") {
		t.Errorf("without its control it differs in %q", got)
	}
}

func TestFaultsNameLineElementAndValue(t *testing.T) {
	fleet := func(attributes, within string) string {
		return "<nettlefold xmlns='urn:nettlefold:settings:1'>\n<fleet listen='127.0.0.1:7946' " + attributes + ">" + within +
			"</fleet></nettlefold>"
	}
	tier := func(attributes, within string) string {
		return "<nettlefold xmlns='urn:nettlefold:settings:1'>\n<control " + attributes + ">" + within + "</control></nettlefold>"
	}
	one := "<relay name='r-1' region='east' address='h:1'/>"
	two := "<site name='a'/><site name='b'/>"
	for doc, want := range map[string]string{
		fleet("", two):                                                               `line 2: nettlefold/fleet: site: ["a" "b"]: no majority is left`,
		fleet("alone='no' site='a'", two):                                            `no majority is left`,
		fleet("site='z'", two+"<site name='c'/>"):                                    `line 2: nettlefold/fleet: site: "z" is none of the sites ["a" "b" "c"]`,
		fleet("", two+"<site name='b'/>"):                                            `line 2: nettlefold/fleet: site: name: "b" stands twice`,
		fleet("", "<site name='a'/><site name='a b'/>"):                              `line 2: nettlefold/fleet/site: name: "a b"`,
		fleet("forget='4s'", two):                                                    `nettlefold/fleet: forget: "4s"`,
		fleet("", "<route to='m' address='h:1'/><route address='h:2' to='m'/>"):      `nettlefold/fleet/route: to: "m" stands twice`,
		tier("region='east'", one+"<relay name='r-1' region='west' address='h:2'/>"): `line 2: nettlefold/control/relay: name: "r-1" stands twice`,
		tier("region='east'", one+"<relay name='r-2' region='west' address='h:1'/>"): `nettlefold/control/relay: address: "h:1" stands twice`,
		tier("region='east'", "<relay name='r 1' region='west' address='h:1'/>"):     `nettlefold/control/relay: name: "r 1"`,
		tier("region='east' window='1h'", one):                                       `line 2: nettlefold/control: window: "1h"`,
		tier("", one):                                                                `line 2: nettlefold/control: region: missing`,
		tier("region='east'", ""):                                                    `line 2: nettlefold/control: relay: missing`,
		"<nettlefold xmlns='urn:nettlefold:settings:1'>\n\n<store site='a' address='nowhere'/></nettlefold>": `line 3: nettlefold/store: address: "nowhere"`,
		"<nettlefold xmlns='urn:nettlefold:settings:1'><store site='a'/></nettlefold>":                       `nettlefold/store: address: missing`,
		"<nettlefold xmlns='urn:nettlefold:settings:1'><shop/></nettlefold>":                                 `unknown element "shop"`,
		"<nettlefold xmlns='urn:nettlefold:settings:1'><subset least='0'/></nettlefold>":                     `nettlefold/subset: least: "0"`,
		"<nettlefold/>": `unknown element "nettlefold" of namespace ""`,
		"":              "no element nettlefold",
	} {
		path := filepath.Join(t.TempDir(), "own.xml")
		if err := os.WriteFile(path, []byte(doc), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		var f *Fault
		if !errors.As(err, &f) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", doc, err, want)
		}
	}
}
