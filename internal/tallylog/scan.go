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

// A frame is its magic, the payload's length, how many bytes of the file had been synced when it was written, and the checksum of those two
// and the payload, all big-endian; then the payload, a tally.Batch in CBOR.
const (
	frameMagic      = 0x9e71a110
	headerBytes     = 4 + 4 + 8 + 4
	maxPayloadBytes = 64 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func encodeFrame(synced int64, payload []byte) []byte {
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(frame, frameMagic)
	binary.BigEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.BigEndian.PutUint64(frame[8:], uint64(synced))
	binary.BigEndian.PutUint32(frame[16:], checksum(frame, payload))
	return append(frame, payload...)
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[4:16], crcTable), crcTable, payload)
}

// DamageError tells that a file cannot be read in a part that was synced once.
type CorruptionError struct {
	Path   string
	Offset int64
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("tally log: %s is damaged at offset %d", e.Path, e.Offset)
}

// scanned is what a file holds.
type scanResult struct {
	state          tally.SavedState
	validBytes     int64 // bytes of whole frames
	confirmedBytes int64 // bytes of which a later frame says that they were synced
	torn           bool  // something that cannot be read follows
}

// scan reads a file from its start to its end, or to where it is torn. It fails with a *DamageError where a frame behind what cannot be
// read says that this was synced.
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
		var unread *fs.PathError
		if errors.As(err, &unread) { // of the disk, not of what is on it
			return nil, merry.Prepend(err, "tally log: read")
		}
		if err != nil {
			found.torn = true
			return found, found.checkTornTail(file)
		}
		found.validBytes += int64(headerBytes + len(payload))
		found.confirmedBytes = synced
	}
}

// readFrame reads one frame: io.EOF at the end of the file, another error where there is none.
func readFrame(reader *bufio.Reader) (synced int64, payload []byte, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(header[4:])
	if binary.BigEndian.Uint32(header[:]) != frameMagic || length > maxPayloadBytes {
		return 0, nil, merry.New("no frame")
	}
	var body bytes.Buffer
	if n, err := io.CopyN(&body, reader, int64(length)); err != nil {
		return 0, nil, merry.Prependf(err, "%d of %d bytes", n, length)
	}
	if checksum(header[:], body.Bytes()) != binary.BigEndian.Uint32(header[16:]) {
		return 0, nil, merry.New("the checksum does not hold")
	}
	return int64(binary.BigEndian.Uint64(header[8:])), body.Bytes(), nil
}

// take adds a batch to what was found.
func (f *scanResult) applyBatch(payload []byte) error {
	var batch tally.Batch
	if err := cbor.Unmarshal(payload, &batch); err != nil {
		return err
	}
	for i := range batch.Runs {
		if !f.state.Set.Insert(&batch.Runs[i]) {
			return merry.New("a gap in an origin's numbers")
		}
	}
	if batch.NewOrigin != 0 {
		f.state.Origins = append(f.state.Origins, batch.NewOrigin)
	}
	f.state.Complete = f.state.Complete || batch.Complete
	return nil
}

// checkTorn looks behind what cannot be read for a frame that was written after it had been synced.
func (f *scanResult) checkTornTail(file *os.File) error {
	if _, err := file.Seek(f.validBytes, io.SeekStart); err != nil {
		return merry.Prepend(err, "tally log: read")
	}
	rest, err := io.ReadAll(file)
	if err != nil {
		return merry.Prepend(err, "tally log: read")
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
