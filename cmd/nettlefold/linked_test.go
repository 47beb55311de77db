package main

import (
	"debug/elf"
	"slices"
	"testing"
)

// The platform loads a library of its own into the mixer, which only a program that the C library's loader starts takes.
func TestLinkedDynamically(t *testing.T) {
	f, err := elf.Open(binary)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the program has no interpreter: it is linked statically")
	}
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.Contains(libs, "libc.so.6") {
		t.Errorf("the program needs %q, not the C library (%v)", libs, err)
	}
	symbols, err := f.ImportedSymbols()
	if err != nil || !slices.ContainsFunc(symbols, func(s elf.ImportedSymbol) bool { return s.Name == "pthread_create" }) {
		t.Errorf("the program's threads are not the C library's (%v)", err)
	}
}
