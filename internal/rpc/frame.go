// Package rpc implements remote procedure calls between the processes of a fleet. Messages are
// length-prefixed CBOR frames over TCP. One connection multiplexes concurrent calls and ordered
// one-way messages. The package doesn't retry; callers decide about retries.
package rpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// maxFrameBytes bounds the memory that a peer can make this process allocate for a frame. It leaves
// room for a configuration of 4 MB and its envelope.
const maxFrameBytes = 16 << 20

// compressionThresholdBytes is the encoded size from which a frame is compressed. Traffic between
// zones is charged for, and smaller frames gain nothing from compression.
const compressionThresholdBytes = 700

// compressedFlag is the bit of the length prefix that marks a compressed frame.
const compressedFlag = 1 << 31

// The constructors fail only for invalid options.
var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10), zstd.WithLowerEncoderMem(true))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxFrameBytes), zstd.WithDecoderLowmem(true))
)

// envelope is the content of one frame. A call has an ID above zero and its reply has the same ID; a
// one-way message has ID zero.
type envelope struct {
	ID    uint64          `cbor:"1,keyasint,omitempty"`
	Reply bool            `cbor:"2,keyasint,omitempty"`
	Kind  string          `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Error string          `cbor:"5,keyasint,omitempty"`
}

// writeFrame encodes an envelope and writes it with a single Write, so that frames don't interleave.
func writeFrame(w io.Writer, e *envelope) error {
	frame, err := encodeFrame(e)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// encodeFrame returns the length prefix and the encoded, possibly compressed, envelope.
func encodeFrame(e *envelope) ([]byte, error) {
	encoded, err := cbor.Marshal(e)
	if err != nil {
		return nil, err
	}
	frame, flag := make([]byte, 4, 4+len(encoded)), uint32(0)
	if len(encoded) >= compressionThresholdBytes {
		frame, flag = compressor.EncodeAll(encoded, frame), compressedFlag
	} else {
		frame = append(frame, encoded...)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4)|flag)
	return frame, nil
}

// EncodedMessage is the frame of a one-way message. It can be sent to many peers, so that the message
// is encoded and compressed only once.
type EncodedMessage []byte

// EncodeOneWay encodes a one-way message.
func EncodeOneWay(kind string, message any) (EncodedMessage, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, err
	}
	return encodeFrame(&envelope{Kind: kind, Body: body})
}

// readFrame reads one envelope. Its body remains valid after the next read.
func readFrame(r *bufio.Reader) (*envelope, error) {
	var prefix [4]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	compressed := size&compressedFlag != 0
	size &^= compressedFlag
	if size > maxFrameBytes {
		return nil, fmt.Errorf("rpc: read frame: %d bytes, want at most %d", size, maxFrameBytes)
	}
	encoded := make([]byte, size)
	if _, err := io.ReadFull(r, encoded); err != nil {
		return nil, err
	}
	if compressed {
		var err error
		if encoded, err = decompressor.DecodeAll(encoded, nil); err != nil {
			return nil, fmt.Errorf("rpc: decompress frame: %w", err)
		}
	}
	e := new(envelope)
	if err := cbor.Unmarshal(encoded, e); err != nil {
		return nil, fmt.Errorf("rpc: decode frame: %w", err)
	}
	return e, nil
}

// FrameSize returns the number of bytes that the frame of a call with the given message occupies on
// the wire.
func FrameSize(kind string, message any) (int, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return 0, err
	}
	var size byteCounter
	err = writeFrame(&size, &envelope{ID: 1, Kind: kind, Body: body})
	return int(size), err
}

// byteCounter is an io.Writer that counts the bytes written to it.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}
