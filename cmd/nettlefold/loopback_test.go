package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"testing"
)

var launched atomic.Int32

func TestMain(m *testing.M) {
	if out, err := exec.Command("sh", "../../deploy/build").CombinedOutput(); err != nil {
		panic(string(out))
	}
	lock, err := claim()
	if err != nil {
		panic(err)
	}
	code := m.Run()
	lock.Close()
	os.Exit(code)
}

// block are the first two numbers of the loopback's addresses that these tests have to themselves. Tests of another run beside
// them, on the same machine, have others: one would take another's program for its own.
var block string

// claim takes a block for as long as what it gives is open.
func claim() (net.Listener, error) {
	var l net.Listener
	err := error(nil)
	for range 100 {
		block = fmt.Sprintf("127.%d", 1+rand.IntN(99)) // those of the worlds of several processes begin at 100
		if l, err = net.Listen("tcp", block+".254.254:9000"); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("no block of the loopback is free: %w", err)
}

// loopback gives an address of the block.
func loopback(group, host, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", block, group, host, port)
}
