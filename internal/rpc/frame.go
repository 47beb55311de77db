// Package rpc carries typed messages between the programs of a fleet: length-prefixed CBOR frames over TCP, many calls at once
// on one connection, and one-way messages in order. It decides nothing and retries nothing; callers own both.
package rpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// maxFrameBytes bounds what a peer may make us hold: a configuration of four megabytes and its envelope.
const maxFrameBytes = 16 << 20

// compressAbove is the size from which a frame is compressed: bytes between zones have a price, and small frames gain nothing.
const compressionThresholdBytes = 700

// compressedBit marks a frame's length.
const compressedFlag = 1 << 31

var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10), zstd.WithLowerEncoderMem(true))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxFrameBytes), zstd.WithDecoderLowmem(true))
)

// envelope is one frame. A call has an ID above zero, and its reply the same; a one-way message has none.
type envelope struct {
	ID    uint64          `cbor:"1,keyasint,omitempty"`
	Reply bool            `cbor:"2,keyasint,omitempty"`
	Kind  string          `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Error string          `cbor:"5,keyasint,omitempty"`
}

// writeFrame encodes an envelope as one write, so that a frame is never interleaved with another's.
func writeFrame(w io.Writer, e *envelope) error {
	frame, err := encodeFrame(e)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

func encodeFrame(e *envelope) ([]byte, error) {
	encoded, err := cbor.Marshal(e)
	if err != nil {
		return nil, err
	}
	frame, mark := make([]byte, 4, 4+len(encoded)), uint32(0)
	if len(encoded) >= compressionThresholdBytes {
		frame, mark = compressor.EncodeAll(encoded, frame), compressedFlag
	} else {
		frame = append(frame, encoded...)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4)|mark)
	return frame, nil
}

// OneWay is a one-way message as it goes over any link: what goes to many peers is encoded and compressed once.
type EncodedMessage []byte

// NewOneWay encodes a one-way message.
func EncodeOneWay(kind string, message any) (EncodedMessage, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, err
	}
	return encodeFrame(&envelope{Kind: kind, Body: body})
}

// readFrame reads one envelope. Its body stays valid after the next read.
func readFrame(r *bufio.Reader) (*envelope, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	compressed := n&compressedFlag != 0
	n &^= compressedFlag
	if n > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes, at most %d are taken", n, maxFrameBytes)
	}
	encoded := make([]byte, n)
	if _, err := io.ReadFull(r, encoded); err != nil {
		return nil, err
	}
	if compressed {
		var err error
		if encoded, err = decompressor.DecodeAll(encoded, nil); err != nil {
			return nil, fmt.Errorf("frame: %w", err)
		}
	}
	e := new(envelope)
	if err := cbor.Unmarshal(encoded, e); err != nil {
		return nil, fmt.Errorf("frame: %w", err)
	}
	return e, nil
}

// Size is how many bytes a message takes on a link, for those who reckon what links carry.
func FrameSize(kind string, message any) (int, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return 0, err
	}
	var counted byteCounter
	err = writeFrame(&counted, &envelope{ID: 1, Kind: kind, Body: body})
	return int(counted), err
}

// counter counts what is written to it.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}
