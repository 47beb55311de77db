package protocol

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"nettlefold/internal/charter"
	"nettlefold/internal/routing"
	"nettlefold/mixer"
)

var limits = charter.Limits{Shards: 10, MaxIDBytes: 16}

// lookupHeader returns the header of a lookup that the client sends again.
func lookupHeader(id, tariff, remaining string) http.Header {
	return http.Header{"X-Txn": {id}, "X-Lane": {tariff}, "X-Remaining-Ms": {remaining}, "X-Resent": {"1"}}
}

func FuzzReadLookup(f *testing.F) {
	f.Add("a", "t", "480", `{"shards":[{"shard":3,"weight":0.5,"cost":9000},{"shard":9,"weight":0.5}],"q":"c41e77d0"}`)
	f.Add("a", "t", "-1", `{"shards":[{"shard":1e3,"weight":1}],"q":""}`)
	f.Add("a\n", "t", "1e400", `{"shards":[{"shard":3,"weight":1e-400}],"q":"\u0000"}`)
	f.Add("", "", "NaN", `{"shards":null}`)
	arrived := time.Unix(1e9, 0)
	f.Fuzz(func(t *testing.T, id, tariff, remaining, body string) {
		l, err := ReadLookup(lookupHeader(id, tariff, remaining), []byte(body), arrived, map[string]int{"t": 0}, nil, limits)
		if err != nil {
			return
		}
		used, sum := map[int]bool{}, 0.0
		for _, p := range l.Parts {
			if p.Slice < 0 || p.Slice >= limits.Shards || used[p.Slice] || !(p.Weight > 0) || p.Effort < 0 {
				t.Errorf("accepted invalid part %+v", p)
			}
			used[p.Slice] = true
			sum += p.Weight
		}
		if math.Abs(sum-1) > 1e-9 || !utf8.ValidString(l.Query) {
			t.Errorf("accepted weights with sum %v, want 1, and query %q, want UTF-8", sum, l.Query)
		}
		if len(l.Parts) == 0 || l.ID == "" || strings.ContainsAny(l.ID, " \n\t\r") || l.Expires.Before(arrived) {
			t.Errorf("accepted invalid lookup %+v", l)
		}
	})
}

func TestLookupAndAnswer(t *testing.T) {
	raw := `{"shards":[{"shard":3,"weight":0.5,"cost":9000.5,"key":"5be2a07c19f04d63"},{"shard":9,"weight":0.25},` +
		`{"shard":0,"weight":0.25}],"q":"c\n<é","new":1}`
	arrived := time.Unix(1e9, 0)
	l, err := ReadLookup(lookupHeader("9b1f", "t", "480"), []byte(raw), arrived, map[string]int{"t": 0}, nil, limits)
	if err != nil {
		t.Fatal(err)
	}
	if l.ID != "9b1f" || l.Tariff != "t" || !l.Again || l.Query != "c\n<é" ||
		!l.Expires.Equal(arrived.Add(480*time.Millisecond)) {
		t.Errorf("got lookup %+v, want ID 9b1f, tariff t, resent, its query, and 480 ms remaining", l)
	}
	if p := l.Parts[0]; len(l.Parts) != 3 || p != (routing.Part{Slice: 3, Weight: 0.5, Effort: 9000500}) {
		t.Errorf("got parts %+v, want three, the first of shard 3 with weight 0.5 and effort 9.0005 ms",
			l.Parts)
	}
	got, err := EncodeAnswer(l, routing.Final{Whole: true,
		Hits: []routing.Hit{{Part: 0, Value: []byte("5b<e")}, {Part: 2, Value: []byte("a\"")}}})
	want := `{"complete":true,"hits":[{"shard":3,"doc":"5b<e"},{"shard":0,"doc":"a\""}]}`
	if err != nil || strings.TrimSpace(string(got)) != want {
		t.Errorf("got answer %s, error %v, want %s", got, err, want)
	}
	if got, _ := EncodeAnswer(l, routing.Final{}); strings.TrimSpace(string(got)) != `{"complete":false,"hits":[]}` {
		t.Errorf("answer without hits: got %s, want incomplete with an empty array", got)
	}
	if got := FormatRetryAfter(250 * time.Millisecond); got != "0.250" {
		t.Errorf("FormatRetryAfter(250 ms): got %q, want 0.250 s", got)
	}
}

// FuzzStream checks that the result does not depend on where the input is split between two reads.
func FuzzStream(f *testing.F) {
	post := "POST /api HTTP/1.1\r\nHost: x\r\n"
	for raw, want := range map[string]string{
		post + "Content-Length: 5\r\n\r\nhello":                                                     "",
		post + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nTrail: er\r\n\r\n":         "",
		"\r\nGET /_health HTTP/1.1\nHost: x\n\n":                                                    "",
		post + "content-length: 5\r\nTRANSFER-Encoding: chunked\r\n\r\n0\r\n\r\n" + post:            "both",
		post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n":                            "both",
		post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello":                                "not one length",
		post + "Content-Length: -5\r\n\r\n":                                                         "not one length",
		post + "Content-Length: 99999999999999999999\r\n\r\n":                                       "not one length",
		post + "Content-Length: 5\r\n\r\nhello" + post:                                              "more than one",
		post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                                           "without a length",
		post + "X: " + strings.Repeat("Content-Length: 5\r", 99) + "\r\nContent-Length: 1\r\n\r\na": "",
	} {
		f.Add([]byte(raw), 40)
		s := RequestStream{}
		if s.Feed([]byte(raw)); !strings.Contains(s.Fault, want) || (want == "") != (s.Complete && s.Fault == "") {
			f.Errorf("%.90q: got complete %v, fault %q, want fault %q", raw, s.Complete, s.Fault, want)
		}
		if s.Next(); want == "" && (s.Started() || s.Complete) {
			f.Errorf("%.90q: after Next, got started %v, complete %v, want false",
				raw, s.Started(), s.Complete)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte, cut int) {
		at := min(max(cut, 0), len(raw))
		whole, split := RequestStream{}, RequestStream{}
		whole.Feed(raw)
		split.Feed(raw[:at])
		split.Feed(raw[at:])
		if whole.Fault != split.Fault || whole.Complete != split.Complete || len(split.line) > maxLineBytes {
			t.Errorf("%q: got %+v when split at %d, want %+v and a line of at most %d bytes",
				raw, split, at, whole, maxLineBytes)
		}
	})
}

func FuzzFrames(f *testing.F) {
	f.Add(AppendFrame(nil, AnswerFrame, []byte("a.3 ok 1840277719 -\n5be2")))
	f.Add(AppendFrame(nil, AnswerFrame, []byte("a.3 ok 1\n")))
	f.Add(AppendQuery(nil, []Part{{"a.3", 3, 240 * time.Millisecond, "c41e77d0"}}))
	f.Add([]byte{255, 255, 255, 255, 'A'})
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{9, 0, 0, 0, 'A', 'x'})
	f.Fuzz(func(t *testing.T, raw []byte) {
		in := bytes.NewReader(raw)
		for {
			frame, err := ReadFrame(in, 1000)
			if err != nil {
				frameErr := new(FrameError)
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &frameErr) {
					t.Errorf("ReadFrame: got error %v, want EOF or a FrameError", err)
				}
				return
			}
			if len(frame.Payload) >= 1000 {
				t.Errorf("got a payload of %d bytes, want less than 1000", len(frame.Payload))
			}
			r, err := ReadReply(frame.Payload)
			if err == nil && (r.ID == "" ||
				r.Outcome != mixer.Succeeded && r.Outcome != mixer.Failed && r.Outcome != mixer.Rejected) {
				t.Errorf("ReadReply(%q): accepted invalid reply %+v", frame.Payload, r)
			}
		}
	})
}

func TestFrameEncoding(t *testing.T) {
	got := AppendQuery(nil, []Part{{"9b.3", 3, 240500 * time.Microsecond, "c41e77d0"}, {"9b.4", 4, -time.Second, "a\nb"}})
	payload := "9b.3 3 d=240 8\nc41e77d09b.4 4 d=0 3\na\nb"
	if binary.LittleEndian.Uint32(got) != uint32(len(payload)+1) || string(got[4:]) != "Q"+payload {
		t.Errorf("AppendQuery: got %q, want its length, Q and %q", got, payload)
	}
	r, err := ReadReply([]byte("9b.3 ok 1840277719 -\n5be2\nx"))
	if err != nil || r.ID != "9b.3" || r.Outcome != mixer.Succeeded || string(r.Value) != "5be2\nx" {
		t.Errorf("ReadReply: got %+v, error %v, want part 9b.3, succeeded with value \"5be2\\nx\"", r, err)
	}
	for text, want := range map[string]routing.Outcome{"a.1 err 0 -\n": mixer.Failed, "a.1 busy 0 -\n": mixer.Rejected} {
		if r, err := ReadReply([]byte(text)); err != nil || r.Outcome != want {
			t.Errorf("ReadReply(%q): got %+v, error %v, want outcome %v", text, r, err, want)
		}
	}
}

func FuzzReadList(f *testing.F) {
	f.Add(`{"index":41,"snapshot":true,"endpoints":[{"name":"s","address":"a:1","group":3,"status":"SERVING","since_ms":5.5}]}`)
	f.Add(`{"index":1e30}`)
	f.Add(`{"index":4,"endpoints":[{"name":"","group":1},{"name":"x","status":"LOST"},{"name":"y","status":"DELETED","since_ms":-1}]}`)
	f.Fuzz(func(t *testing.T, raw string) {
		l, err := ReadMemberList([]byte(raw))
		if err != nil {
			return
		}
		for _, m := range l.Members {
			if m.Searcher == "" || m.Status != mixer.Dead && m.Address == "" ||
				m.Started < 0 || (m.Started == 0) != m.StartTime.IsZero() {
				t.Errorf("accepted invalid member %+v", m)
			}
		}
	})
}

func TestReadMemberList(t *testing.T) {
	l, err := ReadMemberList([]byte(`{"index":43,"snapshot":false,"endpoints":[
		{"name":"a","address":"1:1","zone":"z","type":"m","group":3,"status":"DRAINING","weight":1.5,"since_ms":1790000000123},
		{"name":"b","address":"1:2","zone":"z","group":0,"status":"SERVING","weight":"big","since_ms":0},
		{"name":"c","address":"1:2","zone":"z","group":0,"status":"WELL","since_ms":0},
		{"name":"d","address":"1:2","zone":"z","status":"SERVING","since_ms":0}]}`))
	if err != nil || l.Version != 43 || l.Snapshot || len(l.Skipped) != 2 {
		t.Fatalf("got %+v, error %v, want changes of version 43 with 2 members skipped", l, err)
	}
	want := []routing.Entry{
		{Searcher: "a", Started: 1790000000123e6, Cell: 3, Zone: "z", Size: 1.5, Status: mixer.Draining},
		{Searcher: "b", Zone: "z"}}
	if got := l.Entries(); len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got entries %+v, want %+v", got, want)
	}
}

// exampleConfig returns the example configuration with old replaced by new.
func exampleConfig(t testing.TB, old, new string) []byte {
	raw, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(raw, []byte(old)) {
		t.Fatalf("example configuration does not contain %s", old)
	}
	return bytes.Replace(raw, []byte(old), []byte(new), 1)
}

func FuzzReadConfig(f *testing.F) {
	f.Add(exampleConfig(f, "", ""))
	f.Add([]byte(`{"listen":"a","discovery":"b","seed":"0","limits":{"cores":1,"memory_mb":1,"sockets":9},"settings":{"Profiles":[3]}}`))
	f.Add([]byte(`{"listen":"a","discovery":"b","seed":"0","limits":{"cores":1,"memory_mb":1,"sockets":9},"settings":[]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := ReadConfig(raw)
		if err == nil && (len(c.Mixer.Tariffs) == 0 || c.Limits.MaxOpenRequests < 1 ||
			c.Limits.MemoryBytes < 1 || c.Limits.KillAfterTerm <= 0) {
			t.Errorf("accepted invalid configuration %+v", c)
		}
	})
}

func TestReadConfigErrors(t *testing.T) {
	c, err := ReadConfig(exampleConfig(t, "", ""))
	if err != nil || c.Seed != -0x73e0cf2d85a4169c || len(c.KnownMembers.Members) != 4 ||
		c.Mixer.Cells != 2 || c.Limits.Shards != 8 {
		t.Errorf("got configuration %+v, error %v, want the seed, 4 members, 2 cells and 8 shards of the example",
			c, err)
	}
	for _, f := range []struct{ old, new, want string }{
		{`"listen":"`, `"listen":"","was":"`, "listen: missing"},
		{`"8c1f30d27a5be964"`, `"xyz"`, `seed: not hex of 64 bits: "xyz"`},
		{`"cores":1.0`, `"cores":0`, "limits.cores: 0"},
		{`"memory_mb":192`, `"memory_mb":-3`, "limits.memory_mb: -3"},
		{`"sockets":1024`, `"sockets":0`, "limits.sockets: 0"},
		{`"ColdFrom":0.2`, `"ColdFrom":2`, `setting Guarantees.ColdFrom: "2"`},
		{`"MaxStreams":`, `"Streams":`, "setting PolicyLimits.MaxStreams"},
		{`"Slabs":8`, `"Slabs":"many"`, `setting FamilyInfo.Slabs: "many"`},
		{`"MaxOpen":200`, `"MaxOpen":1.5`, `setting PolicyLimits.MaxOpen: "1.5"`},
		{`"CompleteFrom":[1.0,0.5]`, `"CompleteFrom":[1.0,7]`, `setting FamilyInfo.CompleteFrom: "7"`},
		{`"Effect":"retryable"`, `"Effect":"loud"`, `setting Profiles.0.Effect: "loud"`},
		{`"index":1`, `"was":1`, "known: list: index: missing"},
		{`"settings":{`, `"settings":[],"was":{`, "settings"},
		{`"NInstances":1`, `"NInstances":1,"Weights":"heavy"`, `setting Weights: "heavy"`},
		{`"NInstances":1`, `"NInstances":1,"OverShareWorth":1.5`, `setting OverShareWorth: "1.5"`},
		{`"NInstances":1`, `"NInstances":1,` + tenantSettings("-0.1", "b", "5"), `setting Tenants.1.Share: "-0.1"`},
		{`"NInstances":1`, `"NInstances":1,` + tenantSettings("0.5", "b", "5"), `setting Tenants.1.Share: "0.5"`},
		{`"NInstances":1`, `"NInstances":1,` + tenantSettings("0.4", "a", "5"), `setting Tenants.1.Name: "a"`},
		{`"NInstances":1`, `"NInstances":1,` + tenantSettings("0.4", "", "5"), `setting Tenants.1.Name: ""`},
		{`"NInstances":1`, `"NInstances":1,` + tenantSettings("0.4", "b", "-1"), `setting Tenants.1.AllowancePerS: "-1"`},
	} {
		_, err := ReadConfig(exampleConfig(t, f.old, f.new))
		if err == nil || !strings.Contains(err.Error(), f.want) {
			t.Errorf("with %s: got error %v, want %q", f.new, err, f.want)
		}
	}
}

// tenantSettings returns settings with two tenants. The arguments describe the second one.
func tenantSettings(share, name, allowance string) string {
	return `"Tenants":[{"Name":"a","Share":0.6,"AllowancePerS":7.5},{"Name":"` + name + `","Share":` + share +
		`,"AllowancePerS":` + allowance + `}]`
}

// The settings of tenants and weights reach the configuration of the mixer. A lookup may name a configured tenant
// or none; an unknown one is rejected.
func TestTenants(t *testing.T) {
	c, err := ReadConfig(exampleConfig(t, `"NInstances":1`,
		`"NInstances":1,"Weights":"nominal","OverShareWorth":0.1,`+tenantSettings("0.4", "b", "5")))
	if err != nil || !c.Mixer.Sized || c.Mixer.OverWorth != 0.1 ||
		len(c.Mixer.Allowances) != 2 || c.Mixer.Allowances[1] != 5 {
		t.Fatalf("got %+v, error %v, want nominal weights, OverWorth 0.1 and two allowances", c.Mixer, err)
	}
	odd, err := ReadConfig(exampleConfig(t, `"NInstances":1`, `"NInstances":1,"Tenants":{"0":{"Name":"a"}}`))
	if err != nil || len(odd.TenantRows) != len(odd.Mixer.Allowances) {
		t.Errorf("tenants as an object: got %v with allowances %v, error %v, want as many of each",
			odd.TenantRows, odd.Mixer.Allowances, err)
	}
	plain, err := ReadConfig(exampleConfig(t, "", ""))
	if err != nil || plain.Mixer.Sized || plain.Mixer.OverWorth != 1 ||
		len(plain.Mixer.Allowances)+len(plain.TenantRows) > 0 {
		t.Fatalf("without tenants: got %+v, error %v, want no weights, allowances or tenants, and OverWorth 1",
			plain.Mixer, err)
	}
	for _, f := range []struct {
		tenant  string
		known   map[string]int
		want    int
		wantErr string
	}{
		{"b", c.TenantRows, 2, ""}, {"", c.TenantRows, 0, ""},
		{"who", c.TenantRows, 0, `X-Org: unknown "who"`}, {"who", plain.TenantRows, 0, ""},
	} {
		h := lookupHeader("a", "t", "480")
		if f.tenant != "" {
			h.Set("X-Org", f.tenant)
		}
		l, err := ReadLookup(h, []byte(`{"shards":[{"shard":3,"weight":1}],"q":""}`), time.Unix(1e9, 0),
			map[string]int{"t": 0}, f.known, limits)
		if got := ""; err != nil {
			if got = err.Error(); got != f.wantErr {
				t.Errorf("tenant %q: got error %v, want %q", f.tenant, err, f.wantErr)
			}
		} else if l.Customer != f.want || f.wantErr != "" {
			t.Errorf("tenant %q: got row %d, want %d and error %q", f.tenant, l.Customer, f.want, f.wantErr)
		}
	}
}

// The settings of the JSON configuration have the same text as in the line protocol of the simulator.
func TestFlattenedSettings(t *testing.T) {
	var all struct{ Settings json.RawMessage }
	if err := json.Unmarshal(exampleConfig(t, "", ""), &all); err != nil {
		t.Fatal(err)
	}
	nested, err := charter.ParseJSON(all.Settings)
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{
		"Locality": "here", "NInstances": "1", "FamilyInfo.CompleteFrom": "1.0,0.5", "PolicyLimits.MayDuplicate": "true",
		"PolicyLimits.KeepaliveMs": "30000.0", "Profiles.count": "2", "Profiles.1.Name": "any-half",
	} {
		if nested[key] != want {
			t.Errorf("%s: got %q, want %q as in the line protocol", key, nested[key], want)
		}
	}
}
