package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"nettlefold/internal/charter"
	"nettlefold/mixer"
)

// readAtOnce is ReadList as it was before lists were read by a stream: the whole message by json.Unmarshal. It is what readers are held to.
func unmarshalList(raw []byte) (MemberList, error) {
	var in list
	if err := json.Unmarshal(raw, &in); err != nil {
		return MemberList{}, fmt.Errorf("list: %w", err)
	}
	if in.Index == nil {
		return MemberList{}, errors.New("list: index: missing")
	}
	out := MemberList{Version: *in.Index, Snapshot: in.Snapshot}
	for i, m := range in.Members {
		state, ok := statusByName[m.Status]
		fault := ""
		switch {
		case m.Name == "":
			fault = "name: missing"
		case !ok:
			fault = fmt.Sprintf("status: unknown %q", truncate(m.Status))
		case m.Cell == nil:
			fault = "group: missing"
		case m.Address == "" && state != mixer.Dead:
			fault = "address: missing"
		case !(m.Since >= 0 && m.Since < 1e15):
			fault = fmt.Sprintf("since_ms: %v", m.Since)
		}
		if fault != "" {
			out.Skipped = append(out.Skipped, SkippedMember{m.Name, fmt.Sprintf("endpoints[%d]: %s", i, fault)})
			continue
		}
		e := Member{Address: m.Address}
		if size, err := strconv.ParseFloat(string(m.Size), 64); err == nil && size > 0 && size < 1e9 {
			e.Size = size
		}
		e.Searcher, e.Zone, e.Cell, e.Status, e.Started = m.Name, m.Zone, *m.Cell, state, charter.MillisToNanos(m.Since)
		if m.Since > 0 {
			e.StartTime = time.Unix(0, e.Started)
		}
		out.Members = append(out.Members, e)
	}
	return out, nil
}

// newsAtOnce reads a stream's messages as News did before, by messages kept whole, up to its first error.
func unmarshalStream(raw []byte) (all []MemberList, err error) {
	in := json.NewDecoder(bytes.NewReader(raw))
	for {
		var one json.RawMessage
		if err := in.Decode(&one); err != nil {
			return all, err
		}
		l, err := unmarshalList(one)
		if err != nil {
			return all, err
		}
		all = append(all, l)
	}
}

func readStream(in io.Reader) (all []MemberList, err error) {
	n := NewMemberListReader(in, 1<<20)
	for {
		l, err := n.Next()
		if err != nil {
			return all, err
		}
		all = append(all, l)
	}
}

// sort of an error: what the watch does about it hangs on that, and on the text where the JSON is sound.
func errorClass(err error) string {
	syntax := (*json.SyntaxError)(nil)
	switch {
	case err == nil:
		return "none"
	case err == io.EOF:
		return "end"
	case err == io.ErrUnexpectedEOF || errors.As(err, &syntax):
		return "no JSON"
	}
	return err.Error()
}

// same holds both readers to those from before.
func compareWithUnmarshal(t interface {
	Helper()
	Fatalf(string, ...any)
}, raw []byte) {
	t.Helper()
	got, err := ReadMemberList(raw)
	want, was := unmarshalList(raw)
	if !reflect.DeepEqual(got, want) || fmt.Sprint(err) != fmt.Sprint(was) {
		t.Fatalf("%q:\n%+v, %v\nbefore\n%+v, %v", raw, got, err, want, was)
	}
	told, was := unmarshalStream(raw)
	for _, in := range []io.Reader{bytes.NewReader(raw), iotest.OneByteReader(bytes.NewReader(raw))} {
		heard, err := readStream(in)
		if !reflect.DeepEqual(heard, told) || errorClass(err) != errorClass(was) {
			t.Fatalf("%q as news:\n%+v, %v\nbefore\n%+v, %v", raw, heard, err, told, was)
		}
	}
}

// messages are some of each sort that there is: sound ones, those of which a part is left out, and those that are refused.
var listMessages = func() (all []string) {
	a := `{"name":"a","address":"1:1","zone":"z","type":"m","group":3,"status":"DRAINING","weight":1.5,"since_ms":1790000000123.25}`
	b := `{"name":"b","address":"1:2","zone":"z","group":0,"status":"SERVING","weight":"big","since_ms":0}`
	bad := `{"name":"c","address":"1:2","zone":"z","group":0,"status":"WELL","weight":3,"since_ms":7.5}`
	for _, endpoints := range []string{"", a, a + "," + b, a + "," + bad + "," + b, bad, a + ",null," + b, a + ",{}," + b,
		a + `,{"NAME":"x","Address":"1:3","GROUP":1,"\u017ftatus":"SERVING","\u212aind":2,"SINCE_MS":4}`,
		`{"name":"a","name":"b","address":"1:1","group":1,"group":null,"status":"SERVING"}`, `{"name":null,"address":null,"group":2,"status":null}`,
		`{"name":"d","status":"DELETED","group":-4,"since_ms":-1}`, `{"name":"d","status":"DELETED","group":9,"since_ms":1e15}`,
		`{"name":"d","status":"DELETED","group":9,"weight":[1,{"a":2}],"more":{"x":[{}]}}`, `{"name":"d","status":"DELETED","group":9,"weight":1e99}`,
		a + ",3", "3," + a, `"x"`, "[]", `{"name":3}`, `{"name":"a","group":1.5}`, `{"name":"a","group":"1"}`, `{"status":{"a":1}}`, `{"since_ms":"1"}`,
		`{"since_ms":1e999}`, a + ",", "," + a, a + " " + b, `{"name":"a"`, `{"name" "a"}`, `{"name":"a",}`, "\"\xff\"", `{"name":"\ud800"}`} {
		all = append(all, `{"index":4,"snapshot":true,"endpoints":[`+endpoints+`]}`, ` { "endpoints" : [ `+endpoints+" ] ,\n\"index\":5} ")
	}
	list := func(of string) string { return `"endpoints":[` + of + `]` }
	for _, parts := range [][]string{
		{list(a), list(b)}, {list(a + "," + bad), list(`{"name":"y"}`)}, {list(a + "," + bad + "," + b), list(`{},{"status":"SERVING"},{"weight":2},` + a)},
		{list(a + "," + b + "," + a), list(`{"group":null}`), list(`{"group":8},{},{"since_ms":9},{}`)}, {list(a), `"endpoints":null`, list("{}," + b)},
		{`"endpoints":null`, list(a)}, {list(""), list(a)}, {list(a), list("")}, {list(a), list(""), list("{}")},
		{list(a), `"ENDPOINTS":[{"since_ms":null,"weight":null}]`},
		{list(a), list("3")}, {list(a), `"endpoints":{"x":[1,2]}`}, {`"endpoints":{"x":[1,2]}`, list(a)}, {`"endpoints":"x"`}, {`"endpoints":true`},
		{`"endpoints":7`}, {list(a), list(`{"name":5}`)}, {`"EndPoints":[` + a + `]`, `"x":[[]]`}, {`"endpointſ":[` + a + `]`},
		{`"index":null`}, {`"index":8`, `"index":9`}, {`"index":1.5`}, {`"index":1e30`}, {`"index":"4"`}, {`"index":{}`}, {`"INDEX":7`},
		{`"snapshot":null`},
		{`"snapshot":1`}, {`"snapshot":false`, `"Snapshot":true`}, {`"index":"a"`, `"snapshot":1`, list("3")},
		{list("3"), `"index":"a"`}, {`"":1`}, {`"a":nul`},
	} {
		all = append(all, `{"index":1,`+strings.Join(parts, ",")+`}`, `{`+strings.Join(parts, ",")+`,"index":2}`, `{`+strings.Join(parts, ",")+`}`)
	}
	return append(all, "", " \n", "null", "3", "-", `"x"`, "true", "tru", "[]", `[{"index":1}]`, "[1,2", "{", "}", "{}", "{,}", `{"index":1,}`,
		`{"index":1}{"index":2}`,
		`{"index":1}`+"\n\n"+`{"index":2} null`, `{"index":1} x`, `{"index":1}]`, `{"index":1`, `{"index":`, `{"index"`, `{1:2}`,
		`{"index":1 "snapshot":true}`,
		`{"index":1]`, `{"index":1,"endpoints":[{}}`, `{"index":1,"endpoints":[`, `{"index":1,"endpoints":[{`, `{"index":1,"endpoints":`, `{"index":01}`,
		`{"index":1,"x":"`+strings.Repeat("long ", 2000)+`","endpoints":[`+a+`]}`, "\xef\xbb\xbf{}", "{\"index\":1,\"a\x00\":2}", `{"index":1}`+"\v")
}()

func TestReadMemberListMatchesUnmarshal(t *testing.T) {
	refused := 0
	for _, raw := range listMessages {
		compareWithUnmarshal(t, []byte(raw))
		if _, err := ReadMemberList([]byte(raw)); err != nil {
			refused++
		}
	}
	if refused < 50 || refused > len(listMessages)-50 {
		t.Errorf("%d of %d are refused", refused, len(listMessages))
	}
}

// Pieces of messages, put together anyhow, are read as before too.
func TestReadMemberListMatchesUnmarshalOnRandomInput(t *testing.T) {
	words := []string{`{`, `}`, `[`, `]`, `,`, `:`, `"index"`, `"endpoints"`, `"snapshot"`, `"name"`, `"Status"`, `"group"`, `"since_ms"`,
		`"weight"`, `"address"`,
		`"SERVING"`, `"DELETED"`, `"a"`, `null`, `true`, `1`, `-2.5`, `1e400`, ` `, `{"index":3,"endpoints":[`, `"endpoints":[{`, `]}`,
		`{"name":"a","address":"b","group":1,"status":"SERVING"}`, `,"index":1`}
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom(words), 1, 20).Draw(t, "words")
		compareWithUnmarshal(t, []byte(strings.Join(parts, "")))
		whole := rapid.SampledFrom(listMessages).Draw(t, "message")
		if len(whole) > 0 && len(whole) < 4000 {
			at := rapid.IntRange(0, len(whole)-1).Draw(t, "at")
			compareWithUnmarshal(t, []byte(whole[:at]+parts[0]+whole[at:]))
			compareWithUnmarshal(t, []byte(whole[:at]))
		}
	})
}

func FuzzListsAreReadAsBefore(f *testing.F) {
	for _, raw := range listMessages {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) < 8000 { // deeper nesting than json's own bound is told at another depth
			compareWithUnmarshal(t, raw)
		}
	})
}

// A message that doesn't come whole is no end of the stream, wherever it breaks off: what it had to tell is not known.
func TestTruncatedMessage(t *testing.T) {
	raw := `{"index":4,"snapshot":true,"endpoints":[{"name":"a","address":"1:1","group":3,"status":"SERVING"}],"x":[1,{}]}`
	for at := range raw {
		_, err := NewMemberListReader(strings.NewReader("\n"+raw[:at]), 1<<10).Next()
		if want := io.ErrUnexpectedEOF; at == 0 && err != io.EOF || at > 0 && err != want {
			t.Errorf("%q: %v", raw[:at], err)
		}
	}
}

// endless is a message without end, which counts what is taken of it.
type endlessMessage struct{ bytesRead int }

func (e *endlessMessage) Read(p []byte) (int, error) {
	const one = `{"name":"a","address":"1:1","group":3,"status":"SERVING"},`
	n := 0
	for e.bytesRead == 0 && n == 0 {
		n = copy(p, `{"endpoints":[`)
	}
	for ; n < len(p); n++ {
		p[n] = one[(e.bytesRead+n-len(`{"endpoints":[`)+len(one))%len(one)]
	}
	e.bytesRead += n
	return n, nil
}

// The bound of a message holds while its members are read, and no more than a little beyond it is taken.
func TestMessageTooLong(t *testing.T) {
	in := &endlessMessage{}
	_, err := NewMemberListReader(in, 100_000).Next()
	if err == nil || err.Error() != "list: message too long" || in.bytesRead > 110_000 {
		t.Errorf("%v after %d bytes", err, in.bytesRead)
	}
}

// What reading takes beyond its result is bounded: it allocates under three times the bytes of the members, strings and all, however long the
// list is; it was over ten times while messages were read whole.
func TestMemberListReaderAllocations(t *testing.T) {
	var b bytes.Buffer
	const n = 10_000
	b.WriteString(`{"index":1,"snapshot":true,"endpoints":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"searcher-%05d","address":"10.0.%d.%d:18101","zone":"zone-%d","type":"any",`, i, i>>8, i&255, i%8)
		fmt.Fprintf(&b, `"group":%d,"status":"SERVING","weight":1.0,"since_ms":1700000000123}`, i/4)
	}
	b.WriteString("]}")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	list, err := NewMemberListReader(bytes.NewReader(b.Bytes()), 1<<24).Next()
	runtime.ReadMemStats(&after)
	bytes, times := after.TotalAlloc-before.TotalAlloc, after.Mallocs-before.Mallocs
	result := uint64(n * (reflect.TypeFor[Member]().Size() + 16 + 24 + 8)) // with a name, an address and a zone, in the sizes that are handed out
	if err != nil || len(list.Members) != n || bytes > 3*result || times > 6*n+500 {
		t.Errorf("%v, %d members: %d bytes allocated %d times, the members have %d", err, len(list.Members), bytes, times, result)
	}
}
