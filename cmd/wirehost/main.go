// Command wirehost hosts mixers on standard input and output.
package main

import (
	"fmt"
	"os"

	"nettlefold/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
