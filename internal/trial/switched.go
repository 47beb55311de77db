//go:build trial

package trial

import (
	"strconv"
	"strings"
)

// switches names the mechanisms that are off and the constants that are multiplied, separated by commas. The linker sets it.
var switches string

var disabled, scales = parse(switches)

// parse reads switches: `name` switches a mechanism off, `name=factor` multiplies a constant. An unknown one ends the program, as its figures
// would be taken for another's.
func parse(switches string) (off map[Mechanism]bool, scales map[Constant]float64) {
	off, scales = map[Mechanism]bool{}, map[Constant]float64{}
	for _, m := range Mechanisms {
		off[m] = false
	}
	for _, c := range Constants {
		scales[c] = 1
	}
	if switches == "" {
		return off, scales
	}
	for item := range strings.SplitSeq(switches, ",") {
		name, factor, scaled := strings.Cut(item, "=")
		if !scaled {
			requireKnown(off, Mechanism(name))
			off[Mechanism(name)] = true
			continue
		}
		requireKnown(scales, Constant(name))
		value, err := strconv.ParseFloat(factor, 64)
		if err != nil {
			panic("trial: " + item + ": " + err.Error())
		}
		scales[Constant(name)] = value
	}
	return off, scales
}

func requireKnown[K ~string, V any](known map[K]V, name K) {
	if _, is := known[name]; !is {
		panic("trial: no switch " + string(name))
	}
}

// Off tells whether a mechanism is switched off in this build.
func Disabled(m Mechanism) bool { return disabled[m] }

// Scale is what a constant is multiplied by in this build.
func Scale(c Constant) float64 { return scales[c] }
