// Package store speaks to a shared store of Redis' protocol for one mixer: it writes this mixer's sheet and reads those of
// the others, in rounds of its own. No lookup ever waits for it.
package store

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/redis/go-redis/v9"

	"nettlefold/internal/sharing"
)

const (
	sheetLasts  = 4 * time.Second
	membersLast = time.Minute
	registerBy  = 8 // rounds between two readings of who there is
	dropAtOnce  = 16
)

// Options say where the store is and how it is spoken to.
type Options struct {
	Address  string        // host:port
	Site     string        // mixers of one site share; others on the same store do not
	Mixer    string        // this mixer's name in it
	Timeout  time.Duration // for one exchange; what comes later is as if it had not come
	User     string
	Password func() (string, error) // read at each connection, so that a file may change; nil: none
	TLS      *tls.Config            // nil: plain
	Protocol int                    // 2 or 3
}

// Client is the store as one mixer uses it. Exchange is called by one goroutine at a time.
type Client struct {
	o       Options
	db      *redis.Client
	rounds  int
	names   []string
	Stats   Stats
	counted *meter
}

// Stats are what was exchanged.
type Stats struct {
	Commands   uint64 // sent, also those that got no answer
	Read, Sent uint64 // bytes on the wire
	Oversized  uint64 // values passed over for their size
}

// meter counts the bytes of connections; one goroutine uses them at a time.
type meter struct{ read, sent uint64 }

type counting struct {
	net.Conn
	m *meter
}

func (c counting) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.read += uint64(n)
	return n, err
}

func (c counting) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.sent += uint64(n)
	return n, err
}

type quiet struct{}

func (quiet) Printf(context.Context, string, ...any) {}

// New makes a client. Nothing is sent until the first Exchange.
func New(o Options) *Client {
	redis.SetLogger(quiet{}) // errors come back from Exchange; the library's log may quote what was sent
	m := &meter{}
	c := &Client{o: o, counted: m}
	dialer := net.Dialer{Timeout: o.Timeout}
	c.db = redis.NewClient(&redis.Options{
		Addr: o.Address, Protocol: o.Protocol, DisableIdentity: true,
		Dialer: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if o.TLS != nil {
				secured := tls.Client(conn, o.TLS)
				if err := secured.HandshakeContext(ctx); err != nil {
					conn.Close()
					return nil, err
				}
				conn = secured
			}
			return counting{conn, m}, nil
		},
		CredentialsProviderContext: func(context.Context) (string, string, error) {
			if o.Password == nil {
				return "", "", nil
			}
			password, err := o.Password()
			return o.User, password, err
		},
		// One connection, and no tries of the library's own: the circuit decides when there is another.
		PoolSize: 1, MaxRetries: -1, DialerRetries: 1, DialTimeout: o.Timeout, ReadTimeout: o.Timeout, WriteTimeout: o.Timeout,
		PoolTimeout: o.Timeout, ContextTimeoutEnabled: true,
	})
	return c
}

// Close ends the client's connection.
func (c *Client) Close() error { return c.db.Close() }

// key names a key. The version in it keeps mixers of another version's layout apart.
func (c *Client) key(kind string) string { return "nettlefold:1:{" + c.o.Site + "}:" + kind }

// Exchange writes this mixer's sheet and gives those of the others that are read, in one exchange of a few commands. It
// ends within the timeout of the options. A store that carried the write out and whose answer was lost is an error as any.
func (c *Client) Exchange(ctx context.Context, sheet []byte) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	defer func() { c.Stats.Read, c.Stats.Sent = c.counted.read, c.counted.sent }()
	register := c.rounds%registerBy == 0
	c.rounds++
	pipe := c.db.Pipeline()
	pipe.Set(ctx, c.key("sheet:"+c.o.Mixer), sheet, sheetLasts)
	var members *redis.StringSliceCmd
	var values *redis.SliceCmd
	if register {
		pipe.SAdd(ctx, c.key("mixers"), c.o.Mixer)
		pipe.PExpire(ctx, c.key("mixers"), membersLast)
		members = pipe.SMembers(ctx, c.key("mixers"))
	}
	if len(c.names) > 0 {
		values = pipe.MGet(ctx, c.keys()...)
	}
	c.Stats.Commands += uint64(pipe.Len())
	_, err := pipe.Exec(ctx)
	if end, _ := ctx.Deadline(); err == nil && !time.Now().Before(end) {
		err = context.DeadlineExceeded // a read may win over a deadline that has passed; read whole, the connection is in step
	}
	if err != nil {
		c.rounds = 0 // who there is may have changed meanwhile
		return nil, fmt.Errorf("store %s: %w", c.o.Address, err)
	}
	var sheets [][]byte
	var gone []any
	if values != nil {
		for i, v := range values.Val() {
			switch text, ok := v.(string); {
			case !ok:
				gone = append(gone, c.names[i])
			case len(text) > sharing.MaxSheet:
				c.Stats.Oversized++
			default:
				sheets = append(sheets, []byte(text))
			}
		}
	}
	if register {
		c.names = c.names[:0]
		for _, name := range members.Val() {
			if name != c.o.Mixer && len(c.names) < sharing.MaxOthers {
				c.names = append(c.names, name)
			}
		}
		if len(gone) > 0 { // their keys have ended; who is there adds itself again
			c.Stats.Commands++
			c.db.SRem(ctx, c.key("mixers"), gone[:min(len(gone), dropAtOnce)]...)
		}
	}
	return sheets, nil
}

func (c *Client) keys() []string {
	keys := make([]string, len(c.names))
	for i, name := range c.names {
		keys[i] = c.key("sheet:" + name)
	}
	return keys
}

// ErrReadable is the error of Secret for a file that others may read.
var ErrReadable = errors.New("may be read by others than its owner")

// Secret reads a password from a file of its owner's alone. The file's path is in its errors, its content never is.
func Secret(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "", err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return "", fmt.Errorf("%s: mode %v %w", path, info.Mode().Perm(), ErrReadable)
	}
	raw, err := io.ReadAll(io.LimitReader(f, 4097))
	if err != nil {
		return "", err
	}
	text := strings.TrimRight(string(raw), "\r\n")
	if text == "" || len(raw) > 4096 {
		return "", fmt.Errorf("%s: empty, or over 4096 bytes", path)
	}
	return text, nil
}

// Secured makes the client's side of TLS, trusting the authorities of a file, the system's where none is named, and with
// a certificate of its own where one is.
func Secured(authorities, certificate, key, server string) (*tls.Config, error) {
	t := &tls.Config{ServerName: server, MinVersion: tls.VersionTLS12}
	if authorities != "" {
		raw, err := os.ReadFile(authorities)
		if err != nil {
			return nil, err
		}
		t.RootCAs = x509.NewCertPool()
		if !t.RootCAs.AppendCertsFromPEM(raw) {
			return nil, fmt.Errorf("%s: no certificate", authorities)
		}
	}
	if certificate != "" {
		pair, err := tls.LoadX509KeyPair(certificate, key)
		if err != nil {
			return nil, fmt.Errorf("certificate: %w", err)
		}
		t.Certificates = []tls.Certificate{pair}
	}
	return t, nil
}
