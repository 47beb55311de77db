// Package sharing decides what a mixer tells the others of its site, what it believes of what they tell, and how
// mixers lend each other the cold allowances that they do not use. It does no I/O and reads no clock: times come
// from the caller, in ns of its own clock, and never from another mixer. docs/shared-store.md says why it is so.
package sharing

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

const (
	ms = int64(1_000_000)

	// Round is how often a mixer tells and hears, ns: eight rounds are a lease, so that one lost costs little.
	Round = 250 * ms
	// Lease is how long a sheet is believed and a loan runs, ns. After it a mixer that hears nothing is as one alone.
	Lease = 2000 * ms

	borrowedPart = 0.98 // of a lease, by the borrower's clock
	lentPart     = 1.02 // of it, by the lender's: clocks may run 1% apart, and these 4%

	version   = 1
	maxName   = 64  // bytes of a mixer's, zone's or searcher's name
	maxRows   = 64  // rows of one sheet: what stands out, the most pressing first
	maxGrants = 256 // loans of one sheet
	// MaxSheet is how many bytes of one sheet are taken.
	MaxSheet = 32 << 10
	// MaxOthers is how many mixers are read, and their sheets kept.
	MaxOthers = 1024
	maxLives  = 4 // earlier lives of one mixer that are not taken for new ones
)

// Sheet is all that a mixer says at one time. It stands for all that it said before.
type Sheet struct {
	Version int    `cbor:"1,keyasint"`
	Mixer   string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Life    uint64 `cbor:"4,keyasint"` // drawn at each start
	Number  uint64 `cbor:"5,keyasint"` // of the sheet in that life, from 1
	Rows    []Row  `cbor:"6,keyasint,omitempty"`
}

// Row is what a sheet says of one process of a searcher.
type Row struct {
	Searcher string  `cbor:"1,keyasint"`
	Started  int64   `cbor:"2,keyasint,omitempty"`
	Slow     float32 `cbor:"3,keyasint,omitempty"` // its pace over the fleet's, as its teller knows both
	Weight   float32 `cbor:"4,keyasint,omitempty"` // calls that stand behind that
	Heard    int64   `cbor:"5,keyasint,omitempty"` // ms since its last answer, and 1; 0: none
	Suspect  int64   `cbor:"6,keyasint,omitempty"` // ms since it is suspect, and 1; 0: it is not
	Ask      float64 `cbor:"7,keyasint,omitempty"` // parts per ns beyond its own share that its teller has use for
	Loans    []Loan  `cbor:"8,keyasint,omitempty"`
}

// Loan lends a part of the teller's cold allowance of the row's process. It answers one sheet of one life of the
// borrower that asked, and runs from when the borrower made that sheet, by the borrower's own clock.
type Loan struct {
	To     string  `cbor:"1,keyasint"`
	Life   uint64  `cbor:"2,keyasint"`
	Number uint64  `cbor:"3,keyasint"`
	Rate   float64 `cbor:"4,keyasint"` // parts per ns
}

var (
	// ErrVersion is the error of ReadSheet for a sheet of another version.
	ErrVersion = errors.New("sheet of another version")
	// ErrGarbage is the error of ReadSheet for what is no sheet, or not a sound one.
	ErrGarbage = errors.New("not a sound sheet")
)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: maxGrants, MaxMapPairs: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Append writes a sheet.
func (s *Sheet) Append() ([]byte, error) {
	raw, err := cbor.Marshal(s)
	if err == nil && len(raw) > MaxSheet {
		err = fmt.Errorf("sheet of %d bytes, most are %d", len(raw), MaxSheet)
	}
	return raw, err
}

// ReadSheet reads a sheet whole or says why it is none: ErrVersion or ErrGarbage, with what is at fault.
func ReadSheet(raw []byte) (*Sheet, error) {
	if len(raw) > MaxSheet {
		return nil, fmt.Errorf("%w: %d bytes", ErrGarbage, len(raw))
	}
	var head struct {
		Version int `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(raw, &head); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrGarbage, err)
	}
	if head.Version != version {
		return nil, fmt.Errorf("%w: %d", ErrVersion, head.Version)
	}
	s := &Sheet{}
	if err := decoder.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrGarbage, err)
	}
	return s, s.fault()
}

// fault says what is out of range, nil if nothing is.
func (s *Sheet) fault() error {
	name := func(n string) bool { return n != "" && len(n) <= maxName }
	if !name(s.Mixer) || len(s.Zone) > maxName || s.Life == 0 || s.Number == 0 || len(s.Rows) > maxRows {
		return fmt.Errorf("%w: head", ErrGarbage)
	}
	loans := 0
	for i, r := range s.Rows {
		sound := name(r.Searcher) && age(r.Heard) && age(r.Suspect) && amount(float64(r.Slow)) && amount(float64(r.Weight)) && amount(r.Ask)
		for _, l := range r.Loans {
			sound = sound && name(l.To) && l.Life != 0 && l.Number != 0 && amount(l.Rate)
		}
		if loans += len(r.Loans); !sound || loans > maxGrants {
			return fmt.Errorf("%w: row %d", ErrGarbage, i)
		}
	}
	return nil
}

// age tells whether x is a time since something, in ms, that may be reckoned with.
func age(x int64) bool { return x >= 0 && x < 1e12 }

// amount tells whether x is a number that may be reckoned with.
func amount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// process is one process of a searcher. What is said of one never touches another of the same name.
type process struct {
	searcher string
	started  int64
}
