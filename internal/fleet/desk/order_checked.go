//go:build lockorder

package desk

// Mutex is a lock with a rank. Built with the tag lockorder, as here, it checks the order.
type Mutex struct{ checked }

const lockOrder = true
