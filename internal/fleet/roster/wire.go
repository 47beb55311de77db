package roster

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of what is told and taken.
const (
	mostMeta  = 512  // bytes that tell a life, memberlist's bound
	MostNews  = 1000 // bytes of one piece of news: with all that is put around it, it fits in one packet
	mostRest  = 256  // lives of the rest in one exchange
	mostText  = 64   // bytes of a name, a site and a build, as in the settings
	mostQueue = 256  // pieces of news that wait to be told, and to be taken
	mostSeen  = 4096 // pieces of news remembered, so that each is taken and passed on once
)

// meta tells a life. Its name in memberlist tells name and number.
type meta struct {
	_     struct{} `cbor:",toarray"`
	Site  string
	Build string
	Since int64
	Term  uint32
}

// rest is a life that memberlist's own exchange does not carry.
type rest struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Life uint64
	Meta meta
	Bye  bool // it said goodbye; else it is cut off
	Age  int64
}

// exchange is what rides on a push and pull.
type exchange struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Life  uint64
	Rest  []rest
	State []byte
}

// news is what rides on gossip. Bye is the goodbye of who sent it.
type news struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Life   uint64
	Number uint64
	Bye    bool
	What   []byte
}

var strict = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1024, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// node is the name of a life in memberlist. Each life has one of its own, so that two processes of one name never contend for
// it there: which of them counts is the ledger's to say.
func node(l Life) string { return fmt.Sprintf("%s@%016x", l.Name, l.Life) }

var errNode = errors.New("not the name of a life")

func parted(node string) (name string, life uint64, err error) {
	at := strings.LastIndexByte(node, '@')
	if at < 1 || len(node)-at != 17 || at > mostText {
		return "", 0, errNode
	}
	life, err = strconv.ParseUint(node[at+1:], 16, 64)
	return node[:at], life, err
}

func (m meta) of(name string, life uint64) Life {
	return Life{Name: name, Life: life, Site: m.Site, Build: m.Build, Since: m.Since}
}

func (m meta) check() error {
	if len(m.Site) > mostText || len(m.Build) > mostText {
		return errors.New("a site or build of too many bytes")
	}
	return nil
}

func metaOf(l Life, term uint32) meta {
	return meta{Site: l.Site, Build: l.Build, Since: l.Since, Term: term}
}

// lifeOf reads what memberlist holds of a node.
func lifeOf(node string, raw []byte) (l Life, term uint32, err error) {
	name, life, err := parted(node)
	if err != nil {
		return l, 0, err
	}
	var m meta
	if err := decode.Unmarshal(raw, &m); err != nil {
		return l, 0, err
	}
	return m.of(name, life), m.Term, m.check()
}

var decode = strict()

// encoded gives the bytes of a value of ours, which always has some.
func encoded(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
