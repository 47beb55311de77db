package roster

import "testing"

// What one opens it counts both ways, and what it sends; what it is sent by packets it does not.
func TestTrafficIsCounted(t *testing.T) {
	a := start(t, "a", nil)
	if n := a.Traffic(); n != (Traffic{}) {
		t.Errorf("alone: %+v", n)
	}
	b := start(t, "b", joining(a))
	until(t, "both have pinged", func() bool { return a.Traffic().Packets > 4 && b.Traffic().Packets > 4 })
	n := b.Traffic()
	if n.Streams == 0 || n.StreamOut == 0 || n.StreamIn == 0 || n.PacketBytes < 20*n.Packets {
		t.Errorf("beside another: %+v", n)
	}
}
