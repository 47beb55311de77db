// Package standin is a stand-in for a shared store of Redis' protocol, for tests and measurements: RESP2 and RESP3 as
// published, the commands that mixers use, and troubles on demand. What it lacks it says as Redis would. It is no store
// to rely on: it keeps everything in memory, in one place, for as long as it runs.
package standin

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Keyspace is the state of the store: strings and sets, each of which may end by itself. It reads no clock.
type Keyspace struct{ keys map[string]value }

type value struct {
	text string
	set  map[string]bool // nil: a string
	end  time.Time       // zero: none
}

// NewKeyspace makes an empty one.
func NewKeyspace() *Keyspace { return &Keyspace{keys: map[string]value{}} }

// Copy gives the state as it is, to come back to.
func (k *Keyspace) Copy() *Keyspace {
	c := NewKeyspace()
	for name, v := range k.keys {
		if v.set != nil {
			set := map[string]bool{}
			for m := range v.set {
				set[m] = true
			}
			v.set = set
		}
		c.keys[name] = v
	}
	return c
}

// Len gives how many keys there are at a time.
func (k *Keyspace) Len(now time.Time) int {
	for name := range k.keys {
		k.get(name, now)
	}
	return len(k.keys)
}

func (k *Keyspace) get(name string, now time.Time) (value, bool) {
	v, ok := k.keys[name]
	if ok && !v.end.IsZero() && !now.Before(v.end) {
		delete(k.keys, name)
		return value{}, false
	}
	return v, ok
}

// fault is an error as the store words it.
type fault string

// Simple texts, numbers, bulks, arrays of bulks and nils are what commands answer.
type (
	simple string
	bulk   struct {
		text string
		null bool
	}
	array []bulk
	set   []string
	pairs []any // of a map: names and values in turn
)

const wrongType = fault("WRONGTYPE Operation against a key holding the wrong kind of value")

// Do carries out a command on keys at a time. It gives nil for a command that is none on keys.
func (k *Keyspace) Do(now time.Time, args []string) any {
	name := strings.ToLower(args[0])
	arity, ok := map[string]int{"get": 2, "set": -3, "mget": -2, "del": -2, "sadd": -3, "srem": -3, "smembers": 2,
		"expire": 3, "pexpire": 3, "ttl": 2, "pttl": 2, "exists": -2, "flushall": -1, "dbsize": 1}[name]
	if !ok {
		return nil
	}
	if arity > 0 && len(args) != arity || len(args) < -arity {
		return fault("ERR wrong number of arguments for '" + name + "' command")
	}
	switch name {
	case "get":
		v, ok := k.get(args[1], now)
		if ok && v.set != nil {
			return wrongType
		}
		return bulk{v.text, !ok}
	case "mget":
		all := array{}
		for _, key := range args[1:] {
			v, ok := k.get(key, now)
			all = append(all, bulk{v.text, !ok || v.set != nil})
		}
		return all
	case "set":
		return k.set(now, args[1:])
	case "del", "exists":
		n := 0
		for _, key := range args[1:] {
			if _, ok := k.get(key, now); ok {
				n++
				if name == "del" {
					delete(k.keys, key)
				}
			}
		}
		return n
	case "sadd", "srem", "smembers":
		v, ok := k.get(args[1], now)
		if ok && v.set == nil {
			return wrongType
		}
		if name == "smembers" {
			members := set{}
			for m := range v.set {
				members = append(members, m)
			}
			slices.Sort(members)
			return members
		}
		n := 0
		for _, m := range args[2:] {
			if has := v.set[m]; has == (name == "srem") {
				n++
			}
			if name == "srem" {
				delete(v.set, m)
				continue
			}
			if v.set == nil {
				v.set = map[string]bool{}
			}
			v.set[m] = true
		}
		if len(v.set) == 0 {
			delete(k.keys, args[1])
		} else {
			k.keys[args[1]] = v
		}
		return n
	case "expire", "pexpire":
		n, err := strconv.ParseInt(args[2], 10, 64)
		if err != nil {
			return fault("ERR value is not an integer or out of range")
		}
		v, ok := k.get(args[1], now)
		if !ok {
			return 0
		}
		unit := time.Second
		if name == "pexpire" {
			unit = time.Millisecond
		}
		v.end = now.Add(time.Duration(n) * unit)
		k.keys[args[1]] = v
		return 1
	case "ttl", "pttl":
		v, ok := k.get(args[1], now)
		switch {
		case !ok:
			return -2
		case v.end.IsZero():
			return -1
		case name == "ttl":
			return int(v.end.Sub(now).Round(time.Second) / time.Second)
		}
		return int(v.end.Sub(now) / time.Millisecond)
	case "flushall":
		clear(k.keys)
		return simple("OK")
	case "dbsize":
		return k.Len(now)
	}
	panic(fmt.Sprintf("standin: %s has an arity and no case", name))
}

// set carries out SET with PX, EX and NX.
func (k *Keyspace) set(now time.Time, args []string) any {
	v := value{text: args[1]}
	nx := false
	for rest := args[2:]; len(rest) > 0; {
		switch option := strings.ToLower(rest[0]); {
		case option == "nx":
			nx, rest = true, rest[1:]
		case (option == "px" || option == "ex") && len(rest) > 1:
			n, err := strconv.ParseInt(rest[1], 10, 64)
			if err != nil {
				return fault("ERR value is not an integer or out of range")
			}
			if n <= 0 {
				return fault("ERR invalid expire time in 'set' command")
			}
			unit := time.Second
			if option == "px" {
				unit = time.Millisecond
			}
			v.end, rest = now.Add(time.Duration(n)*unit), rest[2:]
		default:
			return fault("ERR syntax error")
		}
	}
	if _, ok := k.get(args[0], now); ok && nx {
		return bulk{null: true}
	}
	k.keys[args[0]] = v
	return simple("OK")
}

// Texts gives a set's members in order.
func (s set) Texts() []string { return s }
