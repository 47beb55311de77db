package store

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"

	"nettlefold/internal/lab/standin"
	"nettlefold/internal/sharing"
)

func serve(t *testing.T, s *standin.Server) *standin.Server {
	t.Helper()
	if err := s.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func client(t *testing.T, s *standin.Server, mixer string, change func(*Options)) *Client {
	t.Helper()
	o := Options{Address: s.Address(), Site: "site", Mixer: mixer, Timeout: 200 * time.Millisecond, Protocol: 3}
	if change != nil {
		change(&o)
	}
	c := New(o)
	t.Cleanup(func() { c.Close() })
	return c
}

// patient is for a store that is sound: that an exchange ends in time is for other tests, and a busy machine may take its time.
func patient(o *Options) { o.Timeout = time.Minute }

// exchange has a client exchange until it reads so many sheets.
func exchange(t *testing.T, c *Client, sheet string, want int) [][]byte {
	t.Helper()
	for range 2 * registerBy {
		sheets, err := c.Exchange(t.Context(), []byte(sheet))
		if err != nil {
			t.Fatal(err)
		}
		if len(sheets) == want {
			return sheets
		}
	}
	t.Fatalf("never %d sheets", want)
	return nil
}

func TestMixersOfOneSiteReadEachOther(t *testing.T) {
	for _, protocol := range []int{2, 3} {
		s := serve(t, &standin.Server{})
		set := func(o *Options) { patient(o); o.Protocol = protocol }
		a, b := client(t, s, "a", set), client(t, s, "b", set)
		elsewhere := client(t, s, "c", func(o *Options) { patient(o); o.Site = "other" })
		exchange(t, elsewhere, "of c", 0)
		exchange(t, a, "of a", 0)
		if got := exchange(t, b, "of b", 1); string(got[0]) != "of a" {
			t.Errorf("RESP%d: b reads %q", protocol, got)
		}
		if got := exchange(t, a, "of a, later", 1); string(got[0]) != "of b" {
			t.Errorf("RESP%d: a reads %q", protocol, got)
		}
	}
}

func TestEveryKeyEndsByItself(t *testing.T) {
	s := serve(t, &standin.Server{})
	exchange(t, client(t, s, "a", patient), "of a", 0)
	if n := s.Keys().Len(time.Now()); n != 2 {
		t.Errorf("%d keys, want a sheet and the names", n)
	}
	if n := s.Keys().Len(time.Now().Add(membersLast + time.Second)); n != 0 {
		t.Errorf("%d keys are left after a minute", n)
	}
}

func TestAMixerThatIsGoneIsForgotten(t *testing.T) {
	s := serve(t, &standin.Server{})
	a := client(t, s, "a", patient)
	exchange(t, client(t, s, "gone", patient), "of gone", 0)
	exchange(t, a, "of a", 1)
	keys := s.Keys()
	keys.Do(time.Now(), []string{"del", "nettlefold:1:{site}:sheet:gone"})
	s.Set(keys)
	a.Exchange(t.Context(), []byte("of a")) // its connection has ended
	for range 2*registerBy + 1 {
		if _, err := a.Exchange(t.Context(), []byte("of a")); err != nil {
			t.Fatal(err)
		}
	}
	names := s.Keys().Do(time.Now(), []string{"smembers", "nettlefold:1:{site}:mixers"}).(interface{ Texts() []string }).Texts()
	if slices.Contains(names, "gone") {
		t.Errorf("names: %v", names)
	}
}

func TestOversizedValuesArePassedOver(t *testing.T) {
	s := serve(t, &standin.Server{})
	a, b := client(t, s, "a", patient), client(t, s, "b", patient)
	exchange(t, a, strings.Repeat("x", sharing.MaxSheet+1), 0)
	for range registerBy + 1 {
		if got, err := b.Exchange(t.Context(), []byte("of b")); err != nil || len(got) != 0 {
			t.Fatalf("%d sheets, %v", len(got), err)
		}
	}
	if b.Stats.Oversized == 0 {
		t.Error("not counted")
	}
}

func TestAStoreInTroubleIsAnErrorInTime(t *testing.T) {
	for what, trouble := range map[string]standin.Troubles{
		"stalled": {Stall: true}, "slow": {Slow: 5 * time.Second}, "just late": {Slow: 210 * time.Millisecond},
		"without replies": {Drop: true}, "refusing": {Refuse: true}, "loading": {Loads: true},
	} {
		s := serve(t, &standin.Server{})
		c := client(t, s, "a", nil)
		exchange(t, c, "of a", 0)
		s.Trouble(trouble)
		for range 3 {
			began := time.Now()
			_, err := c.Exchange(t.Context(), []byte("of a"))
			if took := time.Since(began); err == nil || took > 600*time.Millisecond {
				t.Errorf("%s: %v after %v", what, err, took)
			}
		}
		s.Trouble(standin.Troubles{})
		for range 3 { // what is left of the trouble on its connection may cost one
			if _, err := c.Exchange(t.Context(), []byte("of a")); err == nil {
				break
			}
		}
		if _, err := c.Exchange(t.Context(), []byte("of a")); err != nil {
			t.Errorf("%s: not back: %v", what, err)
		}
	}
	s := serve(t, &standin.Server{})
	c := client(t, s, "a", nil)
	exchange(t, c, "of a", 0)
	address := s.Address()
	s.Stop()
	if _, err := c.Exchange(t.Context(), nil); err == nil {
		t.Error("a store that has ended answers")
	}
	if err := s.Start(address); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Exchange(t.Context(), []byte("of a")); err != nil {
		t.Errorf("restarted: %v", err)
	}
}

// unhurried is a connection on which no deadline is noticed, as on a machine too busy to. Holding, a read hands over what it
// read only when the time of the exchange is up.
type unhurried struct {
	net.Conn
	hold func()
}

func (u unhurried) SetDeadline(time.Time) error      { return nil }
func (u unhurried) SetReadDeadline(time.Time) error  { return nil }
func (u unhurried) SetWriteDeadline(time.Time) error { return nil }

func (u unhurried) Read(b []byte) (int, error) {
	n, err := u.Conn.Read(b)
	u.hold()
	return n, err
}

func TestAnAnswerReadWhenTheTimeIsUpIsAsIfItHadNotCome(t *testing.T) {
	const short, long = 200 * time.Millisecond, time.Minute
	s := serve(t, &standin.Server{})
	others := client(t, s, "b", patient)
	c := client(t, s, "a", patient)
	holding, held := false, 0
	o := *c.db.Options()
	dial := o.Dialer
	o.Dialer = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return unhurried{conn, func() {
			if holding {
				held++
				time.Sleep(short)
			}
		}}, err
	}
	c.Close()
	c.db = redis.NewClient(&o)
	exchange(t, others, "of b", 0)
	exchange(t, c, "of a", 1) // from here on each answer has a sheet of b
	for _, register := range []bool{false, true} {
		for held = 0; held == 0; { // a machine that stands still for all of the time sends nothing
			if c.rounds = 1; register {
				c.rounds = 0
				exchange(t, client(t, s, "new", patient), "of new", 2)
			}
			names := slices.Clone(c.names)
			c.o.Timeout, holding = short, true
			sheets, err := c.Exchange(t.Context(), []byte("of a, late"))
			c.o.Timeout, holding = long, false
			if !errors.Is(err, context.DeadlineExceeded) || len(sheets) > 0 || !slices.Equal(names, c.names) || c.rounds != 0 {
				t.Fatalf("registering %v, late: %q, %v, names %q, were %q, rounds %d", register, sheets, err, c.names, names, c.rounds)
			}
		}
		want := [][]byte{[]byte("of b")}
		for i := range 2 { // whatever became of the connection, the answers are those to what is asked
			if _, err := others.Exchange(t.Context(), []byte("of b")); err != nil { // or it would end by itself on a slow machine
				t.Fatal(err)
			}
			sheets, err := c.Exchange(t.Context(), []byte("of a"))
			if err != nil || !slices.EqualFunc(sheets, want, slices.Equal) {
				t.Errorf("registering %v, exchange %d after it: %q, %v", register, i, sheets, err)
			}
			if register {
				want = append(want, []byte("of new"))
			}
		}
	}
}

func TestLoginAndSecrets(t *testing.T) {
	const secret = "correct horse"
	path := filepath.Join(t.TempDir(), "password")
	if err := os.WriteFile(path, []byte(secret+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	password := func() (string, error) { return Secret(path) }
	s := serve(t, &standin.Server{User: "mixer", Password: secret})
	exchange(t, client(t, s, "a", func(o *Options) { patient(o); o.User, o.Password = "mixer", password }), "of a", 0)
	for what, set := range map[string]func(*Options){
		"no login":     nil,
		"another user": func(o *Options) { o.User, o.Password = "other", password },
		"wrong password": func(o *Options) {
			o.User, o.Password = "mixer", func() (string, error) { return "wrong " + secret, nil }
		},
	} {
		_, err := client(t, s, "b", set).Exchange(t.Context(), nil)
		if err == nil || strings.Contains(err.Error(), secret) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := os.Chmod(path, 0o640); err != nil {
		t.Fatal(err)
	}
	if _, err := Secret(path); !errors.Is(err, ErrReadable) || strings.Contains(err.Error(), secret) {
		t.Errorf("a file that others may read: %v", err)
	}
	if _, err := Secret(path + "x"); err == nil {
		t.Error("a file that is not there")
	}
}

func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{"store.internal"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	authorities := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(authorities, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	s := serve(t, &standin.Server{Listener: func(l net.Listener) net.Listener {
		return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}}})
	}})
	for server, sound := range map[string]bool{"store.internal": true, "other.internal": false} {
		trust, err := Secured(authorities, "", "", server)
		if err != nil {
			t.Fatal(err)
		}
		_, err = client(t, s, "a", func(o *Options) { patient(o); o.TLS = trust }).Exchange(t.Context(), []byte("of a"))
		if (err == nil) != sound {
			t.Errorf("as %s: %v", server, err)
		}
	}
	if _, err := client(t, s, "a", nil).Exchange(t.Context(), nil); err == nil {
		t.Error("plain to a store with TLS")
	}
	if _, err := Secured(authorities+"x", "", "", ""); err == nil {
		t.Error("authorities that are not there")
	}
}

func TestCommandsStayWithinTwentyASecond(t *testing.T) {
	s := serve(t, &standin.Server{})
	for _, name := range []string{"x", "y"} {
		exchange(t, client(t, s, name, patient), "of "+name, map[string]int{"x": 0, "y": 1}[name])
	}
	c := client(t, s, "a", patient)
	rounds := int(10 * time.Second / time.Duration(sharing.Round))
	for range rounds {
		if _, err := c.Exchange(t.Context(), []byte("of a")); err != nil {
			t.Fatal(err)
		}
	}
	if perSecond := float64(c.Stats.Commands) / 10; perSecond > 20 || perSecond < 4 {
		t.Errorf("%.1f commands a second", perSecond)
	}
}
