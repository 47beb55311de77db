//go:build !trial

package trial

// Disabled reports whether a mechanism is disabled. It is always false in a production build.
func Disabled(Mechanism) bool { return false }

// Scale returns the factor of a constant. It is always 1 in a production build.
func Scale(Constant) float64 { return 1 }
