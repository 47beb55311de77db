package main

import (
	"fmt"
	"os"
)

// cases are the plays by name. trouble is false for the run without the disruption.
var cases = map[string]func(program string, trouble bool, r *record) int{
	"tally":  tallyCase,
	"holder": holderCase,
	"wall":   wallCase,
	"term":   termCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0", r)
	r.printf("exit %d", code)
	os.Exit(code)
}
