//go:build trial

package trial

import (
	"strconv"
	"strings"
)

// switches is the comma-separated list of disabled mechanisms and scaled constants. It is set by the
// linker.
var switches string

var disabled, scales = parse(switches)

// parse parses a list of switches. An item `name` disables a mechanism, an item `name=factor`
// scales a constant. parse panics on an invalid switch, because the trial would otherwise measure an unchanged program.
func parse(switches string) (disabled map[Mechanism]bool, scales map[Constant]float64) {
	disabled, scales = map[Mechanism]bool{}, map[Constant]float64{}
	for _, m := range Mechanisms {
		disabled[m] = false
	}
	for _, c := range Constants {
		scales[c] = 1
	}
	if switches == "" {
		return disabled, scales
	}
	for item := range strings.SplitSeq(switches, ",") {
		name, factor, scaled := strings.Cut(item, "=")
		if !scaled {
			requireKnown(disabled, Mechanism(name))
			disabled[Mechanism(name)] = true
			continue
		}
		requireKnown(scales, Constant(name))
		value, err := strconv.ParseFloat(factor, 64)
		if err != nil {
			panic("trial: parse switch " + item + ": " + err.Error())
		}
		scales[Constant(name)] = value
	}
	return disabled, scales
}

func requireKnown[K ~string, V any](known map[K]V, name K) {
	if _, ok := known[name]; !ok {
		panic("trial: parse switch " + string(name) + ": unknown mechanism to disable or constant to scale")
	}
}

// Disabled reports whether a mechanism is disabled in this build.
func Disabled(m Mechanism) bool { return disabled[m] }

// Scale returns the factor by which a constant is multiplied in this build.
func Scale(c Constant) float64 { return scales[c] }
