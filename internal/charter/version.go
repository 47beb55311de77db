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
	maxDocumentBytes = 32 << 10     // bytes
	maxErrorTextBytes     = 80           // bytes of a path or a value that a fault tells
	documentPath     = "(document)" // the path of a fault that no path has
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
func (t Settings) Overlay(doc []byte) (Settings, error) {
	c, _, err := t.MixerConfig()
	if err != nil {
		return nil, err
	}
	v := &overlay{base: t, settings: maps.Clone(t), baseConfig: c, values: map[string]documentValue{}}
	all, fault := v.parse(doc)
	if fault != nil {
		return nil, fault
	}
	for _, key := range slices.Sorted(maps.Keys(all)) {
		v.collect(key, all[key])
	}
	v.apply()
	if len(v.errs) > 0 {
		first := slices.MinFunc(v.errs, func(a, b SettingError) int {
			return cmp.Or(comparePaths(a.Key, b.Key), strings.Compare(a.Value, b.Value))
		})
		return nil, &SettingError{errorText(first.Key), errorText(first.Value)}
	}
	return v.settings, nil
}

// version is a document as it is laid over a start.
type overlay struct {
	base, settings Settings
	baseConfig      mixer.Charter // of the start
	values       map[string]documentValue
	errs       []SettingError
}

// leaf is one value as the document has it.
type documentValue struct {
	text   string
	numeric bool // or a list of numbers
}

func (v *overlay) reject(path, value string) { v.errs = append(v.errs, SettingError{path, value}) }

// told gives what a fault tells of a path or value, which is text in any case.
func errorText(s string) string {
	s = strings.ToValidUTF8(s, "\uFFFD")
	for n := maxErrorTextBytes; len(s) > maxErrorTextBytes; n-- {
		if utf8.RuneStart(s[n]) {
			s = s[:n]
		}
	}
	return s
}

// read reads the document as far as its form goes; keys that stand twice in one object are noted.
func (v *overlay) parse(doc []byte) (all map[string]any, fault *SettingError) {
	if len(doc) > maxDocumentBytes {
		return nil, &SettingError{documentPath, fmt.Sprintf("%d bytes, at most %d", len(doc), maxDocumentBytes)}
	}
	if err := json.Unmarshal(doc, new(json.RawMessage)); err != nil { // the whole of it, and not too deep
		return nil, &SettingError{documentPath, errorText("not JSON: " + err.Error())}
	}
	d := json.NewDecoder(bytes.NewReader(doc))
	d.UseNumber()
	if err := d.Decode(&all); err != nil || all == nil {
		return nil, &SettingError{documentPath, errorText("not an object: " + strings.TrimSpace(string(doc)))}
	}
	v.rejectDuplicateKeys(json.NewDecoder(bytes.NewReader(doc)), "", "")
	return all, nil
}

// twice goes through one value of a sound document and notes the keys that stand twice in an object.
func (v *overlay) rejectDuplicateKeys(d *json.Decoder, path, dot string) {
	token, _ := d.Token()
	switch token {
	case json.Delim('{'):
		keys := map[string]bool{}
		for d.More() {
			token, _ := d.Token()
			key, _ := token.(string)
			if keys[key] {
				v.reject(path+dot+key, "told twice")
			}
			keys[key] = true
			v.rejectDuplicateKeys(d, path+dot+key, ".")
		}
		d.Token()
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			v.rejectDuplicateKeys(d, path+dot+strconv.Itoa(i), ".")
		}
		d.Token()
	}
}

// walk finds the values below a path.
func (v *overlay) collect(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		if len(value) == 0 && !v.knownPath(path) {
			v.reject(path, "{}")
		}
		for _, key := range slices.Sorted(maps.Keys(value)) {
			v.collect(path+"."+key, value[key])
		}
	case []any:
		v.collectList(path, value)
	default:
		_, number := value.(json.Number)
		v.addValue(path, documentValue{formatScalar(value), number})
	}
}

// known tells whether the start has anything at or below a path, or may have a column's items there.
func (v *overlay) knownPath(path string) bool {
	for key := range v.base {
		if strings.HasPrefix(key, path+".") {
			return true
		}
	}
	return v.isColumn(path)
}

// column tells whether a path is one of a value for each tariff.
func (v *overlay) isColumn(path string) bool { return columnDefaults[path] != "" }

// defaults are what the columns have where a start does not tell; the least share is then the complete one.
var columnDefaults = map[string]string{completeFrom: "1", leastShare: "-", classPartial: "0"}

const (
	completeFrom = "FamilyInfo.CompleteFrom"
	leastShare   = "FamilyInfo.LeastShare"
	classPartial = "FamilyInfo.ClassPartial"
)

// list finds the values of a list: of rows, of a column, or of plain values that count as one.
func (v *overlay) collectList(path string, items []any) {
	_, rows := v.base[path+".count"]
	plain, numbers := Settings{}, true
	for _, item := range items {
		_, row := item.(map[string]any)
		_, number := item.(json.Number)
		rows, numbers = rows || row, numbers && number
	}
	plain.flatten(path, items)
	all := documentValue{plain[path], numbers && len(items) > 0}
	switch {
	case rows:
		v.addValue(path+".count", documentValue{strconv.Itoa(len(items)), true})
	case !v.isColumn(path) || v.equalsBase(path, all):
		v.addValue(path, all)
		return
	case len(items) != len(v.baseConfig.Tariffs):
		v.reject(path, all.text)
		return
	}
	for i, item := range items {
		v.collect(path+"."+strconv.Itoa(i), item)
	}
}

// leaf notes one value, once.
func (v *overlay) addValue(path string, l documentValue) {
	if _, ok := v.values[path]; ok {
		v.reject(path, "told twice")
	}
	v.values[path] = l
}

// same tells whether a value is the start's own. Numbers may be written in another way.
func (v *overlay) equalsBase(path string, l documentValue) bool {
	was, ok := v.base[path]
	if !ok || was == l.text {
		return ok
	}
	return l.numeric && slices.EqualFunc(strings.Split(was, ","), strings.Split(l.text, ","), func(a, b string) bool {
		x, err := strconv.ParseFloat(a, 64)
		y, wrong := strconv.ParseFloat(b, 64)
		return err == nil && wrong == nil && x == y
	})
}

// lay lays the values over the start's, in the order of their paths: a complete share comes before a least one.
func (v *overlay) apply() {
	changed := map[string]float64{}
	for _, path := range slices.SortedFunc(maps.Keys(v.values), comparePaths) {
		l := v.values[path]
		if v.equalsBase(path, l) {
			continue
		}
		lo, hi, whole, ok := v.bounds(path)
		x, err := strconv.ParseFloat(l.text, 64)
		if !ok || !l.numeric || err != nil || !(x >= lo && x <= hi) || whole && x != math.Trunc(x) {
			v.reject(path, l.text)
			continue
		}
		changed[path] = x
		if column, row, ok := v.parseColumnItem(path); ok {
			v.setColumnItem(column, row, l.text)
		} else {
			v.settings[path] = l.text
		}
	}
	v.checkLeastShares(changed)
	v.checkTenantShares(changed)
}

// bounds gives the range of a path that may differ from the start.
func (v *overlay) bounds(path string) (lo, hi float64, whole, ok bool) {
	const longest, above = 1e12, 1e-3 // ms; the clock counts microseconds
	switch path {
	case "OverShareWorth":
		return 0, 1, false, true
	case "PolicyLimits.MaxRetryAfterMs":
		return 0, longest, false, true
	case "PolicyLimits.MaxOpen":
		return 1, 1e9, true, true
	}
	if _, _, ok := v.parseColumnItem(path); ok {
		return 0, 1, false, true
	}
	at := strings.Split(path, ".")
	if len(at) != 3 {
		return 0, 0, false, false
	}
	rows := map[string]int{"Profiles": len(v.baseConfig.Tariffs), "Tenants": len(v.baseConfig.Allowances)}[at[0]]
	if _, ok := parseRow(at[1], rows); !ok {
		return 0, 0, false, false
	}
	switch at[0] + "." + at[2] {
	case "Profiles.AimMs":
		return above, longest, false, true
	case "Profiles.DeadlineMs":
		most := int64(0)
		for _, t := range v.baseConfig.Tariffs {
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
func parseRow(s string, rows int) (i int, ok bool) {
	i, err := strconv.Atoi(s)
	return i, err == nil && i >= 0 && i < rows && s == strconv.Itoa(i)
}

// item reads the path of one item of a column.
func (v *overlay) parseColumnItem(path string) (column string, i int, ok bool) {
	dot := max(0, strings.LastIndexByte(path, '.'))
	if column = path[:dot]; !v.isColumn(column) {
		return "", 0, false
	}
	i, ok = parseRow(path[dot+1:], len(v.baseConfig.Tariffs))
	return column, i, ok
}

// items gives the items of a column as they are laid so far.
func (v *overlay) columnItems(column string) []string {
	if has := v.settings[column]; has != "" && has != "-" {
		return strings.Split(has, ",")
	}
	if column == leastShare {
		return v.columnItems(completeFrom)
	}
	return slices.Repeat([]string{columnDefaults[column]}, len(v.baseConfig.Tariffs))
}

func (v *overlay) setColumnItem(column string, row int, text string) {
	items := v.columnItems(column)
	items[row] = text
	v.settings[column] = strings.Join(items, ",")
}

// shares checks that no least share is above the complete one, in the rows that have changed.
func (v *overlay) checkLeastShares(changed map[string]float64) {
	complete, least := v.columnItems(completeFrom), v.columnItems(leastShare)
	for i := range v.baseConfig.Tariffs {
		for _, column := range []string{leastShare, completeFrom} {
			path := column + "." + strconv.Itoa(i)
			if _, ok := changed[path]; !ok {
				continue
			}
			from, _ := strconv.ParseFloat(complete[i], 64)
			if x, _ := strconv.ParseFloat(least[i], 64); x > from {
				v.reject(path, v.values[path].text)
			}
			break
		}
	}
}

// customers checks that the customers' shares are no more than all, where any has been raised.
func (v *overlay) checkTenantShares(changed map[string]float64) {
	sum, raised := 0.0, ""
	for i := range v.baseConfig.Allowances {
		path := "Tenants." + strconv.Itoa(i) + ".Share"
		was, _ := strconv.ParseFloat(v.base[path], 64)
		x, ok := changed[path]
		if !ok {
			x = was
		}
		if sum += x; x > was && raised == "" {
			raised = path
		}
	}
	if sum > maxShareSum && raised != "" {
		v.reject(raised, v.values[raised].text)
	}
}

// byPath orders paths, at each step numbers first, by their size.
func comparePaths(a, b string) int {
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
