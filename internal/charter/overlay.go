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
	maxDocumentBytes  = 32 << 10
	maxErrorTextBytes = 80           // of the path or the value in a SettingError
	documentPath      = "(document)" // path of an error that concerns the whole document
)

// Overlay returns a copy of the settings with the changes of a document. The document is a JSON object in the
// form of the settings, with any of their paths. Only these may be changed (rows count from 0, as in the lists
// of the settings):
//
//	Profiles.i.AimMs, .DeadlineMs      ms, above 0; no deadline above the longest of the base settings
//	Profiles.i.KeyTtlMs                ms
//	FamilyInfo.CompleteFrom.i, .LeastShare.i, .ClassPartial.i    0 to 1; LeastShare at most CompleteFrom
//	Tenants.i.Share, .AllowancePerS    0 to 1, at most 1 in all; lookups per second
//	OverShareWorth                     0 to 1
//	PolicyLimits.MaxRetryAfterMs, .MaxOpen                       ms; a whole number from 1
//
// Rows may be written in two ways. An object keyed by row number has only the rows and the fields that change:
// {"Profiles":{"1":{"AimMs":300}},"FamilyInfo":{"LeastShare":{"1":0.4}}}. A list, as in the settings, has all
// rows; each of its objects has only the fields that change: {"Profiles":[{},{"AimMs":300}]}. What the
// document does not name keeps its base value.
//
// Any path may be given with its base value. Everything else is rejected with a *SettingError, the first in
// the order of paths, with rows in numeric order: an unknown path, another value at a path that may not
// change, a row that does not exist, a list of another length, a duplicate path, or a value out of range.
func (t Settings) Overlay(doc []byte) (Settings, error) {
	c, _, err := t.MixerConfig()
	if err != nil {
		return nil, err
	}
	v := &overlay{base: t, settings: maps.Clone(t), baseConfig: c, values: map[string]documentValue{}}
	all, documentErr := v.parse(doc)
	if documentErr != nil {
		return nil, documentErr
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

// overlay is the state of applying one document to base settings.
type overlay struct {
	base, settings Settings
	baseConfig     mixer.Config
	values         map[string]documentValue // by path
	errs           []SettingError
}

// documentValue is one value of the document.
type documentValue struct {
	text    string
	numeric bool // a number or a list of numbers
}

// reject records an error at a path.
func (v *overlay) reject(path, value string) { v.errs = append(v.errs, SettingError{path, value}) }

// errorText returns s as valid UTF-8 of at most maxErrorTextBytes.
func errorText(s string) string {
	s = strings.ToValidUTF8(s, "\uFFFD")
	for n := maxErrorTextBytes; len(s) > maxErrorTextBytes; n-- {
		if utf8.RuneStart(s[n]) {
			s = s[:n]
		}
	}
	return s
}

// parse parses the document and records duplicate keys. It returns an error if the document is too long or not
// a JSON object.
func (v *overlay) parse(doc []byte) (all map[string]any, documentErr *SettingError) {
	if len(doc) > maxDocumentBytes {
		return nil, &SettingError{documentPath, fmt.Sprintf("%d bytes, at most %d", len(doc), maxDocumentBytes)}
	}
	// Unmarshal rejects trailing data and excessive nesting, which a Decoder's first value does not show.
	if err := json.Unmarshal(doc, new(json.RawMessage)); err != nil {
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

// rejectDuplicateKeys reads one value of a valid document and rejects keys that occur twice in one object.
func (v *overlay) rejectDuplicateKeys(d *json.Decoder, path, dot string) {
	token, _ := d.Token()
	switch token {
	case json.Delim('{'):
		keys := map[string]bool{}
		for d.More() {
			token, _ := d.Token()
			key, _ := token.(string)
			if keys[key] {
				v.reject(path+dot+key, "told twice") // this text is matched by operators
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

// collect adds the values at and below a path.
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
		_, numeric := value.(json.Number)
		v.addValue(path, documentValue{formatScalar(value), numeric})
	}
}

// knownPath reports whether the base settings have a value below a path, or the path is a column (see isColumn).
func (v *overlay) knownPath(path string) bool {
	for key := range v.base {
		if strings.HasPrefix(key, path+".") {
			return true
		}
	}
	return v.isColumn(path)
}

// isColumn reports whether a path is a column: a list with one value for each request profile.
func (v *overlay) isColumn(path string) bool { return columnDefaults[path] != "" }

// columnDefaults has, by column, the item that stands in for each row if the base settings lack the column. The
// entry for leastShare only marks it as a column: it defaults to the items of completeFrom.
var columnDefaults = map[string]string{completeFrom: "1", leastShare: "-", classPartial: "0"}

const (
	completeFrom = "FamilyInfo.CompleteFrom"
	leastShare   = "FamilyInfo.LeastShare"
	classPartial = "FamilyInfo.ClassPartial"
)

// collectList adds the values of a list, which has the rows of a table, the items of a column, or scalars that
// together form one value.
func (v *overlay) collectList(path string, items []any) {
	_, rows := v.base[path+".count"]
	flat, numeric := Settings{}, true
	for _, item := range items {
		_, isRow := item.(map[string]any)
		_, isNumber := item.(json.Number)
		rows, numeric = rows || isRow, numeric && isNumber
	}
	flat.flatten(path, items)
	joined := documentValue{flat[path], numeric && len(items) > 0}
	switch {
	case rows: // a table, or a list of objects: the rows are collected below
		v.addValue(path+".count", documentValue{strconv.Itoa(len(items)), true})
	case !v.isColumn(path) || v.equalsBase(path, joined): // one value of scalars, or an unchanged column
		v.addValue(path, joined)
		return
	case len(items) != len(v.baseConfig.Tariffs): // a column with a wrong number of items
		v.reject(path, joined.text)
		return
	}
	for i, item := range items {
		v.collect(path+"."+strconv.Itoa(i), item)
	}
}

// addValue records the value at a path and rejects a duplicate path.
func (v *overlay) addValue(path string, value documentValue) {
	if _, ok := v.values[path]; ok {
		v.reject(path, "told twice") // this text is matched by operators
	}
	v.values[path] = value
}

// equalsBase reports whether a value equals that of the base settings. Numbers are compared by value, not by
// their notation.
func (v *overlay) equalsBase(path string, value documentValue) bool {
	base, ok := v.base[path]
	if !ok || base == value.text {
		return ok
	}
	return value.numeric && slices.EqualFunc(strings.Split(base, ","), strings.Split(value.text, ","), func(a, b string) bool {
		x, xErr := strconv.ParseFloat(a, 64)
		y, yErr := strconv.ParseFloat(b, 64)
		return xErr == nil && yErr == nil && x == y
	})
}

// apply writes the changed values over the base settings in the order of their paths: complete shares come
// before least shares, which default to them.
func (v *overlay) apply() {
	changed := map[string]float64{}
	for _, path := range slices.SortedFunc(maps.Keys(v.values), comparePaths) {
		value := v.values[path]
		if v.equalsBase(path, value) {
			continue
		}
		lo, hi, whole, ok := v.bounds(path)
		x, err := strconv.ParseFloat(value.text, 64)
		if !ok || !value.numeric || err != nil || !(x >= lo && x <= hi) || whole && x != math.Trunc(x) {
			v.reject(path, value.text)
			continue
		}
		changed[path] = x
		if column, row, ok := v.parseColumnItem(path); ok {
			v.setColumnItem(column, row, value.text)
		} else {
			v.settings[path] = value.text
		}
	}
	v.checkLeastShares(changed)
	v.checkTenantShares(changed)
}

// bounds returns the range of the value at a path and whether it must be a whole number. ok is false for a
// path that may not change.
func (v *overlay) bounds(path string) (lo, hi float64, whole, ok bool) {
	const maxMillis, minMillis = 1e12, 1e-3 // the clock counts whole microseconds
	switch path {
	case "OverShareWorth":
		return 0, 1, false, true
	case "PolicyLimits.MaxRetryAfterMs":
		return 0, maxMillis, false, true
	case "PolicyLimits.MaxOpen":
		return 1, 1e9, true, true
	}
	if _, _, ok := v.parseColumnItem(path); ok {
		return 0, 1, false, true
	}
	elements := strings.Split(path, ".")
	if len(elements) != 3 {
		return 0, 0, false, false
	}
	rows := map[string]int{"Profiles": len(v.baseConfig.Tariffs), "Tenants": len(v.baseConfig.Allowances)}[elements[0]]
	if _, ok := parseRow(elements[1], rows); !ok {
		return 0, 0, false, false
	}
	switch elements[0] + "." + elements[2] {
	case "Profiles.AimMs":
		return minMillis, maxMillis, false, true
	case "Profiles.DeadlineMs":
		longest := int64(0)
		for _, profile := range v.baseConfig.Tariffs {
			longest = max(longest, profile.Patience)
		}
		return minMillis, float64(longest) / 1e6, false, true
	case "Profiles.KeyTtlMs":
		return 0, maxMillis, false, true
	case "Tenants.Share":
		return 0, 1, false, true
	case "Tenants.AllowancePerS":
		return 0, 1e9, false, true
	}
	return 0, 0, false, false
}

// parseRow parses a row number from 0 to rows-1 in canonical decimal form.
func parseRow(s string, rows int) (i int, ok bool) {
	i, err := strconv.Atoi(s)
	return i, err == nil && i >= 0 && i < rows && s == strconv.Itoa(i)
}

// parseColumnItem splits the path of one item of a column.
func (v *overlay) parseColumnItem(path string) (column string, i int, ok bool) {
	dot := max(0, strings.LastIndexByte(path, '.'))
	if column = path[:dot]; !v.isColumn(column) {
		return "", 0, false
	}
	i, ok = parseRow(path[dot+1:], len(v.baseConfig.Tariffs))
	return column, i, ok
}

// columnItems returns the current items of a column.
func (v *overlay) columnItems(column string) []string {
	if joined := v.settings[column]; joined != "" && joined != "-" {
		return strings.Split(joined, ",")
	}
	if column == leastShare {
		return v.columnItems(completeFrom)
	}
	return slices.Repeat([]string{columnDefaults[column]}, len(v.baseConfig.Tariffs))
}

// setColumnItem sets one item of a column.
func (v *overlay) setColumnItem(column string, row int, text string) {
	items := v.columnItems(column)
	items[row] = text
	v.settings[column] = strings.Join(items, ",")
}

// checkLeastShares rejects changed rows whose least share is above the complete share.
func (v *overlay) checkLeastShares(changed map[string]float64) {
	complete, least := v.columnItems(completeFrom), v.columnItems(leastShare)
	for i := range v.baseConfig.Tariffs {
		for _, column := range []string{leastShare, completeFrom} {
			path := column + "." + strconv.Itoa(i)
			if _, ok := changed[path]; !ok {
				continue
			}
			completeShare, _ := strconv.ParseFloat(complete[i], 64)
			if x, _ := strconv.ParseFloat(least[i], 64); x > completeShare {
				v.reject(path, v.values[path].text)
			}
			break
		}
	}
}

// checkTenantShares rejects the first share that was raised if the tenants' shares add up to more than the
// whole.
func (v *overlay) checkTenantShares(changed map[string]float64) {
	sum, raised := 0.0, ""
	for i := range v.baseConfig.Allowances {
		path := "Tenants." + strconv.Itoa(i) + ".Share"
		base, _ := strconv.ParseFloat(v.base[path], 64)
		x, ok := changed[path]
		if !ok {
			x = base
		}
		if sum += x; x > base && raised == "" {
			raised = path
		}
	}
	if sum > maxShareSum && raised != "" {
		v.reject(raised, v.values[raised].text)
	}
}

// comparePaths orders paths element by element, numbers before names and by their value.
func comparePaths(a, b string) int {
	return slices.CompareFunc(strings.Split(a, "."), strings.Split(b, "."), func(a, b string) int {
		x, xErr := strconv.Atoi(a)
		y, yErr := strconv.Atoi(b)
		switch {
		case xErr == nil && yErr == nil:
			return cmp.Or(cmp.Compare(x, y), strings.Compare(a, b))
		case xErr == nil:
			return -1
		case yErr == nil:
			return 1
		}
		return strings.Compare(a, b)
	})
}
