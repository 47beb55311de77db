package tallylog

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"nettlefold/internal/tally"
)

// A frame has a header of four big-endian fields, followed by the payload, a tally.Batch in CBOR:
//   - the magic number, 4 bytes,
//   - the length of the payload, 4 bytes,
//   - the length of the synced part of the file when the frame was written, 8 bytes,
//   - the CRC-32C of the two lengths and the payload, 4 bytes.
const (
	frameMagic      = 0x9e71a110
	headerBytes     = 4 + 4 + 8 + 4
	maxPayloadBytes = 64 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns a frame that is written behind the given number of synced bytes.
func encodeFrame(synced int64, payload []byte) []byte {
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(frame, frameMagic)
	binary.BigEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.BigEndian.PutUint64(frame[8:], uint64(synced))
	binary.BigEndian.PutUint32(frame[16:], checksum(frame, payload))
	return append(frame, payload...)
}

// checksum returns the checksum of the two lengths in a header and the payload.
func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[4:16], crcTable), crcTable, payload)
}

// CorruptionError reports a log that can't be read at an offset that had been synced.
type CorruptionError struct {
	Path   string
	Offset int64 // of the unreadable frame, in bytes
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("tallylog: read %s: corrupt frame at offset %d", e.Path, e.Offset)
}

// scanResult is the result of reading a file.
type scanResult struct {
	state          tally.SavedState
	validBytes     int64 // length of the valid frames
	confirmedBytes int64 // length of the part that a later frame confirms as synced
	torn           bool  // the valid frames are followed by an unreadable one
}

// scan reads a file up to its end or its first unreadable frame. It fails with a *CorruptionError if a
// later frame confirms that the unreadable one had been synced.
func scan(file *os.File) (*scanResult, error) {
	found := &scanResult{state: tally.SavedState{Set: tally.NewSet()}}
	reader := bufio.NewReaderSize(file, 64<<10)
	for {
		synced, payload, err := readFrame(reader)
		if err == io.EOF {
			return found, nil
		}
		if err == nil {
			err = found.applyBatch(payload)
		}
		var pathError *fs.PathError
		if errors.As(err, &pathError) { // the read itself failed, which isn't corruption
			return nil, merry.Prepend(err, "tallylog: read log")
		}
		if err != nil {
			found.torn = true
			return found, found.checkTornTail(file)
		}
		found.validBytes += int64(headerBytes + len(payload))
		found.confirmedBytes = synced
	}
}

// readFrame reads one frame. It returns io.EOF at the end of the file and another error if there is no
// valid frame.
func readFrame(reader *bufio.Reader) (synced int64, payload []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[4:])
	if binary.BigEndian.Uint32(header[:]) != frameMagic || length > maxPayloadBytes {
		return 0, nil, merry.New("read frame: invalid header")
	}
	var body bytes.Buffer
	if n, err := io.CopyN(&body, reader, int64(length)); err != nil {
		return 0, nil, merry.Prependf(err, "read frame: got %d of %d payload bytes", n, length)
	}
	if checksum(header[:], body.Bytes()) != binary.BigEndian.Uint32(header[16:]) {
		return 0, nil, merry.New("read frame: checksum mismatch")
	}
	return int64(binary.BigEndian.Uint64(header[8:])), body.Bytes(), nil
}

// applyBatch decodes a batch and applies it to the state.
func (f *scanResult) applyBatch(payload []byte) error {
	var batch tally.Batch
	if err := cbor.Unmarshal(payload, &batch); err != nil {
		return err
	}
	for i := range batch.Runs {
		if !f.state.Set.Insert(&batch.Runs[i]) {
			return merry.New("apply batch: gap in the sequence numbers of an origin")
		}
	}
	if batch.NewOrigin != 0 {
		f.state.Origins = append(f.state.Origins, batch.NewOrigin)
	}
	f.state.Complete = f.state.Complete || batch.Complete
	return nil
}

// checkTornTail searches the data behind the first unreadable frame for a valid frame that was written
// after that one had been synced, and returns a *CorruptionError if there is one.
func (f *scanResult) checkTornTail(file *os.File) error {
	if _, err := file.Seek(f.validBytes, io.SeekStart); err != nil {
		return merry.Prepend(err, "tallylog: read torn end")
	}
	rest, err := io.ReadAll(file)
	if err != nil {
		return merry.Prepend(err, "tallylog: read torn end")
	}
	magic := binary.BigEndian.AppendUint32(nil, frameMagic)
	for at := 0; ; at++ {
		next := bytes.Index(rest[at:], magic)
		if next < 0 {
			return nil
		}
		at += next
		synced, _, err := readFrame(bufio.NewReader(bytes.NewReader(rest[at:])))
		if err == nil && synced > f.validBytes {
			return &CorruptionError{file.Name(), f.validBytes}
		}
	}
}
