// Package hangup keeps SIGHUP, which tells a program to read its settings again, from ending the program before it has asked for the
// signal. Importing the package is enough: in builds with cgo a C constructor ignores the signal before the Go runtime and the
// initialization of all packages begin, which take milliseconds. The runtime leaves an ignored SIGHUP ignored until Notify asks for it.
//
// What is sent earlier, while the kernel and the dynamic loader prepare the process, still ends it.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Notify returns a channel that receives SIGHUP. Signals that arrive while one waits to be received count as one.
func Notify() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
