//go:build !trial

package trial

// Off tells whether a mechanism is switched off: never, as this is no trial build.
func Disabled(Mechanism) bool { return false }

// Scale is what a constant is multiplied by: 1, as this is no trial build.
func Scale(Constant) float64 { return 1 }
