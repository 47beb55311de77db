//go:build !lockorder

package desk

// Mutex is a lock with a rank. Built with the tag lockorder it checks the order.
type Mutex struct{ plain }

const lockOrder = false
