package charter

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"nettlefold/mixer"
)

const (
	mostDocument = 32 << 10     // bytes
	mostTold     = 80           // bytes of a path or a value that a fault tells
	document     = "(document)" // the path of a fault that no path has
)

// Lay gives these terms, which are those of a start, with some of them as a document has them. The document is a JSON object in the
// form of the settings, with any of their paths. These may differ from the start (rows count from 0, as in the lists of the start):
//
//	Profiles.i.AimMs, .DeadlineMs      ms, above 0; no deadline above the longest of the start
//	Profiles.i.KeyTtlMs                ms
//	FamilyInfo.CompleteFrom.i, .LeastShare.i, .ClassPartial.i    0 to 1; the least share at most the complete one
//	Tenants.i.Share, .AllowancePerS    0 to 1, in all at most 1; queries per second
//	OverShareWorth                     0 to 1
//	PolicyLimits.MaxRetryAfterMs, .MaxOpen                       ms; a whole number from 1
//
// Rows may be written in two ways. An object by number names just the rows that change, and in them just the fields that change:
// {"Profiles":{"1":{"AimMs":300}},"FamilyInfo":{"LeastShare":{"1":0.4}}}. A list, as the start has it, has all rows, of which each
// object has just the fields that change: {"Profiles":[{},{"AimMs":300}]}. What is not named is as at the start.
//
// A path with the start's own value is fine wherever it is. All else is a *Fault, the first by path, rows by number: another value
// or an unknown path, a row that the start has not, a list of another length, a path told twice, a value out of range.
func (t Terms) Lay(doc []byte) (Terms, error) {
	c, _, err := t.Charter()
	if err != nil {
		return nil, err
	}
	v := &version{start: t, terms: maps.Clone(t), charter: c, leaves: map[string]leaf{}}
	all, fault := v.read(doc)
	if fault != nil {
		return nil, fault
	}
	for _, key := range slices.Sorted(maps.Keys(all)) {
		v.walk(key, all[key])
	}
	v.lay()
	if len(v.faults) > 0 {
		first := slices.MinFunc(v.faults, func(a, b Fault) int {
			return cmp.Or(byPath(a.Key, b.Key), strings.Compare(a.Value, b.Value))
		})
		return nil, &Fault{told(first.Key), told(first.Value)}
	}
	return v.terms, nil
}

// version is a document as it is laid over a start.
type version struct {
	start, terms Terms
	charter      mixer.Config // of the start
	leaves       map[string]leaf
	faults       []Fault
}

// leaf is one value as the document has it.
type leaf struct {
	text   string
	number bool // or a list of numbers
}

func (v *version) bad(path, value string) { v.faults = append(v.faults, Fault{path, value}) }

// told gives what a fault tells of a path or value, which is text in any case.
func told(s string) string {
	s = strings.ToValidUTF8(s, "\uFFFD")
	for n := mostTold; len(s) > mostTold; n-- {
		if utf8.RuneStart(s[n]) {
			s = s[:n]
		}
	}
	return s
}

// read reads the document as far as its form goes; keys that stand twice in one object are noted.
func (v *version) read(doc []byte) (all map[string]any, fault *Fault) {
	if len(doc) > mostDocument {
		return nil, &Fault{document, fmt.Sprintf("%d bytes, at most %d", len(doc), mostDocument)}
	}
	if err := json.Unmarshal(doc, new(json.RawMessage)); err != nil { // the whole of it, and not too deep
		return nil, &Fault{document, told("not JSON: " + err.Error())}
	}
	d := json.NewDecoder(bytes.NewReader(doc))
	d.UseNumber()
	if err := d.Decode(&all); err != nil || all == nil {
		return nil, &Fault{document, told("not an object: " + strings.TrimSpace(string(doc)))}
	}
	v.twice(json.NewDecoder(bytes.NewReader(doc)), "", "")
	return all, nil
}

// twice goes through one value of a sound document and notes the keys that stand twice in an object.
func (v *version) twice(d *json.Decoder, path, dot string) {
	token, _ := d.Token()
	switch token {
	case json.Delim('{'):
		keys := map[string]bool{}
		for d.More() {
			token, _ := d.Token()
			key, _ := token.(string)
			if keys[key] {
				v.bad(path+dot+key, "told twice")
			}
			keys[key] = true
			v.twice(d, path+dot+key, ".")
		}
		d.Token()
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			v.twice(d, path+dot+strconv.Itoa(i), ".")
		}
		d.Token()
	}
}

// walk finds the values below a path.
func (v *version) walk(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		if len(value) == 0 && !v.known(path) {
			v.bad(path, "{}")
		}
		for _, key := range slices.Sorted(maps.Keys(value)) {
			v.walk(path+"."+key, value[key])
		}
	case []any:
		v.list(path, value)
	default:
		_, number := value.(json.Number)
		v.leaf(path, leaf{text(value), number})
	}
}

// known tells whether the start has anything at or below a path, or may have a column's items there.
func (v *version) known(path string) bool {
	for key := range v.start {
		if strings.HasPrefix(key, path+".") {
			return true
		}
	}
	return v.column(path)
}

// column tells whether a path is one of a value for each tariff.
func (v *version) column(path string) bool { return defaults[path] != "" }

// defaults are what the columns have where a start does not tell; the least share is then the complete one.
var defaults = map[string]string{completeFrom: "1", leastShare: "-", classPartial: "0"}

const (
	completeFrom = "FamilyInfo.CompleteFrom"
	leastShare   = "FamilyInfo.LeastShare"
	classPartial = "FamilyInfo.ClassPartial"
)

// list finds the values of a list: of rows, of a column, or of plain values that count as one.
func (v *version) list(path string, items []any) {
	_, rows := v.start[path+".count"]
	plain, numbers := Terms{}, true
	for _, item := range items {
		_, row := item.(map[string]any)
		_, number := item.(json.Number)
		rows, numbers = rows || row, numbers && number
	}
	plain.flatten(path, items)
	all := leaf{plain[path], numbers && len(items) > 0}
	switch {
	case rows:
		v.leaf(path+".count", leaf{strconv.Itoa(len(items)), true})
	case !v.column(path) || v.same(path, all):
		v.leaf(path, all)
		return
	case len(items) != len(v.charter.Tariffs):
		v.bad(path, all.text)
		return
	}
	for i, item := range items {
		v.walk(path+"."+strconv.Itoa(i), item)
	}
}

// leaf notes one value, once.
func (v *version) leaf(path string, l leaf) {
	if _, ok := v.leaves[path]; ok {
		v.bad(path, "told twice")
	}
	v.leaves[path] = l
}

// same tells whether a value is the start's own. Numbers may be written in another way.
func (v *version) same(path string, l leaf) bool {
	was, ok := v.start[path]
	if !ok || was == l.text {
		return ok
	}
	return l.number && slices.EqualFunc(strings.Split(was, ","), strings.Split(l.text, ","), func(a, b string) bool {
		x, err := strconv.ParseFloat(a, 64)
		y, wrong := strconv.ParseFloat(b, 64)
		return err == nil && wrong == nil && x == y
	})
}

// lay lays the values over the start's, in the order of their paths: a complete share comes before a least one.
func (v *version) lay() {
	changed := map[string]float64{}
	for _, path := range slices.SortedFunc(maps.Keys(v.leaves), byPath) {
		l := v.leaves[path]
		if v.same(path, l) {
			continue
		}
		lo, hi, whole, ok := v.bounds(path)
		x, err := strconv.ParseFloat(l.text, 64)
		if !ok || !l.number || err != nil || !(x >= lo && x <= hi) || whole && x != math.Trunc(x) {
			v.bad(path, l.text)
			continue
		}
		changed[path] = x
		if column, row, ok := v.item(path); ok {
			v.put(column, row, l.text)
		} else {
			v.terms[path] = l.text
		}
	}
	v.shares(changed)
	v.customers(changed)
}

// bounds gives the range of a path that may differ from the start.
func (v *version) bounds(path string) (lo, hi float64, whole, ok bool) {
	const longest, above = 1e12, 1e-3 // ms; the clock counts microseconds
	switch path {
	case "OverShareWorth":
		return 0, 1, false, true
	case "PolicyLimits.MaxRetryAfterMs":
		return 0, longest, false, true
	case "PolicyLimits.MaxOpen":
		return 1, 1e9, true, true
	}
	if _, _, ok := v.item(path); ok {
		return 0, 1, false, true
	}
	at := strings.Split(path, ".")
	if len(at) != 3 {
		return 0, 0, false, false
	}
	rows := map[string]int{"Profiles": len(v.charter.Tariffs), "Tenants": len(v.charter.Allowances)}[at[0]]
	if _, ok := row(at[1], rows); !ok {
		return 0, 0, false, false
	}
	switch at[0] + "." + at[2] {
	case "Profiles.AimMs":
		return above, longest, false, true
	case "Profiles.DeadlineMs":
		most := int64(0)
		for _, t := range v.charter.Tariffs {
			most = max(most, t.Patience)
		}
		return above, float64(most) / 1e6, false, true
	case "Profiles.KeyTtlMs":
		return 0, longest, false, true
	case "Tenants.Share":
		return 0, 1, false, true
	case "Tenants.AllowancePerS":
		return 0, 1e9, false, true
	}
	return 0, 0, false, false
}

// row reads the number of one of so many rows.
func row(s string, rows int) (i int, ok bool) {
	i, err := strconv.Atoi(s)
	return i, err == nil && i >= 0 && i < rows && s == strconv.Itoa(i)
}

// item reads the path of one item of a column.
func (v *version) item(path string) (column string, i int, ok bool) {
	dot := max(0, strings.LastIndexByte(path, '.'))
	if column = path[:dot]; !v.column(column) {
		return "", 0, false
	}
	i, ok = row(path[dot+1:], len(v.charter.Tariffs))
	return column, i, ok
}

// items gives the items of a column as they are laid so far.
func (v *version) items(column string) []string {
	if has := v.terms[column]; has != "" && has != "-" {
		return strings.Split(has, ",")
	}
	if column == leastShare {
		return v.items(completeFrom)
	}
	return slices.Repeat([]string{defaults[column]}, len(v.charter.Tariffs))
}

func (v *version) put(column string, row int, text string) {
	items := v.items(column)
	items[row] = text
	v.terms[column] = strings.Join(items, ",")
}

// shares checks that no least share is above the complete one, in the rows that have changed.
func (v *version) shares(changed map[string]float64) {
	complete, least := v.items(completeFrom), v.items(leastShare)
	for i := range v.charter.Tariffs {
		for _, column := range []string{leastShare, completeFrom} {
			path := column + "." + strconv.Itoa(i)
			if _, ok := changed[path]; !ok {
				continue
			}
			from, _ := strconv.ParseFloat(complete[i], 64)
			if x, _ := strconv.ParseFloat(least[i], 64); x > from {
				v.bad(path, v.leaves[path].text)
			}
			break
		}
	}
}

// customers checks that the customers' shares are no more than all, where any has been raised.
func (v *version) customers(changed map[string]float64) {
	sum, raised := 0.0, ""
	for i := range v.charter.Allowances {
		path := "Tenants." + strconv.Itoa(i) + ".Share"
		was, _ := strconv.ParseFloat(v.start[path], 64)
		x, ok := changed[path]
		if !ok {
			x = was
		}
		if sum += x; x > was && raised == "" {
			raised = path
		}
	}
	if sum > mostShares && raised != "" {
		v.bad(raised, v.leaves[raised].text)
	}
}

// byPath orders paths, at each step numbers first, by their size.
func byPath(a, b string) int {
	return slices.CompareFunc(strings.Split(a, "."), strings.Split(b, "."), func(a, b string) int {
		x, noX := strconv.Atoi(a)
		y, noY := strconv.Atoi(b)
		switch {
		case noX == nil && noY == nil:
			return cmp.Or(cmp.Compare(x, y), strings.Compare(a, b))
		case noX == nil:
			return -1
		case noY == nil:
			return 1
		}
		return strings.Compare(a, b)
	})
}
