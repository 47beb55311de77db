// Package rpc implements remote procedure calls between the processes of a fleet. Messages are
// length-prefixed CBOR frames over TCP. One connection multiplexes concurrent calls and ordered
// one-way messages. The package doesn't retry; callers decide about retries.
package rpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// maxFrameBytes bounds the memory that a peer can make this process allocate for a frame. It leaves
// room for a configuration of 4 MB and its envelope.
const maxFrameBytes = 16 << 20

const (
	// frameTimeout bounds the time in which a frame that has begun arrives.
	frameTimeout = 10 * time.Second
	// frameGrowth is by how much the buffer of a frame grows at once.
	frameGrowth = 4
	// frameCopies is how often the text of a frame is in memory while it is handled: as it is, and as its body.
	frameCopies = 2
)

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

// frameReader reads the frames of a connection.
type frameReader struct {
	conn   net.Conn
	buffer *bufio.Reader
	memory *frameMemory
}

func newFrameReader(conn net.Conn) *frameReader {
	return &frameReader{conn: conn, buffer: bufio.NewReader(conn), memory: frames}
}

// next reads one envelope. Its body remains valid after the next read; release is to be called once it has been handled.
func (r *frameReader) next() (e *envelope, release func(), err error) {
	holder := r.memory.newHolder(r.conn)
	e, err = r.read(holder)
	if err != nil {
		holder.release()
		return nil, nil, err
	}
	return e, holder.release, nil
}

// read reads one envelope with the memory of a holder.
func (r *frameReader) read(holder *frameHolder) (*envelope, error) {
	var prefix [4]byte
	if _, err := io.ReadFull(r.buffer, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	compressed := size&compressedFlag != 0
	size &^= compressedFlag
	if size > maxFrameBytes {
		return nil, fmt.Errorf("rpc: read frame: %d bytes, want at most %d", size, maxFrameBytes)
	}
	if r.buffer.Buffered() < int(size) {
		r.conn.SetReadDeadline(time.Now().Add(frameTimeout))
		defer r.conn.SetReadDeadline(time.Time{})
	}
	encoded, err := readGrowing(r.buffer, int(size), holder)
	if err != nil {
		return nil, err
	}
	holder.setArrived()
	decoded := encoded
	if compressed {
		if decoded, err = decompress(encoded, holder); err != nil {
			return nil, err
		}
	}
	if !holder.grow(int64(cap(encoded) + frameCopies*len(decoded))) {
		return nil, errNoFrameMemory
	}
	e := new(envelope)
	if err := cbor.Unmarshal(decoded, e); err != nil {
		return nil, fmt.Errorf("rpc: decode frame: %w", err)
	}
	return e, nil
}

// errNoFrameMemory means that there is no memory left for a frame.
var errNoFrameMemory = errors.New("rpc: read frame: no memory left for frames")

// readGrowing reads a number of bytes. It takes the memory for them as they arrive, not as they are announced.
func readGrowing(reader io.Reader, size int, holder *frameHolder) ([]byte, error) {
	text := make([]byte, 0, min(size, uncountedFrameBytes))
	for {
		n, err := io.ReadFull(reader, text[len(text):cap(text)])
		text = text[:len(text)+n]
		if err != nil || len(text) == size {
			return text, err
		}
		larger := min(size, frameGrowth*cap(text))
		if !holder.grow(int64(larger)) {
			return nil, errNoFrameMemory
		}
		text = append(make([]byte, 0, larger), text...)
	}
}

// decompress returns the text of a compressed frame, for which it takes memory before it is made.
func decompress(encoded []byte, holder *frameHolder) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(encoded); err != nil {
		return nil, fmt.Errorf("rpc: decompress frame: %w", err)
	}
	size := uint64(maxFrameBytes)
	if header.HasFCS {
		size = min(size, header.FrameContentSize)
	}
	if !holder.grow(int64(cap(encoded)) + int64(size)) {
		return nil, errNoFrameMemory
	}
	decoded, err := decompressor.DecodeAll(encoded, nil)
	if err != nil {
		return nil, fmt.Errorf("rpc: decompress frame: %w", err)
	}
	return decoded, nil
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
