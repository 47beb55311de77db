package standin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxArgs = 1 << 16
	maxBulk = 1 << 20
)

// Server is the stand-in on a socket. Its troubles may be changed while it serves.
type Server struct {
	User, Password string                          // asked for where a password is set
	Listener       func(net.Listener) net.Listener // wraps the listener, for TLS; nil: plain

	mu       sync.Mutex
	keys     *Keyspace
	troubles Troubles
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	commands map[string]int
	wg       sync.WaitGroup
}

// Troubles are what a store may do to those who use it.
type Troubles struct {
	Stall  bool          // reads nothing and answers nothing
	Slow   time.Duration // before each command is carried out
	Drop   bool          // carries commands out and never answers
	Refuse bool          // ends connections as they come
	Loads  bool          // says that it is loading
}

// Start listens at an address of the loopback, a free one if none is given.
func (s *Server) Start(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys, s.commands = NewKeyspace(), map[string]int{}
	}
	s.address = l.Addr().String()
	if s.Listener != nil {
		l = s.Listener(l)
	}
	s.listener, s.conns = l, map[net.Conn]bool{}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			refuse := s.troubles.Refuse || s.listener != l
			if !refuse {
				s.conns[c] = true
			}
			s.mu.Unlock()
			if refuse {
				c.Close()
				continue
			}
			s.wg.Go(func() { s.serve(c) })
		}
	})
	return nil
}

// Address gives where it listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Stop ends it and all connections; its state stays for another Start.
func (s *Server) Stop() {
	s.mu.Lock()
	l := s.listener
	s.listener = nil
	s.cut()
	s.mu.Unlock()
	if l != nil {
		l.Close()
	}
	s.wg.Wait()
}

// Trouble sets its troubles.
func (s *Server) Trouble(t Troubles) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubles = t
	if t.Refuse {
		s.cut()
	}
}

// Cut ends all connections.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut()
}

func (s *Server) cut() {
	for c := range s.conns {
		c.Close()
	}
}

// Keys gives a copy of the state; Set has it go on from a state, and ends all connections as a restart does.
func (s *Server) Keys() *Keyspace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.Copy()
}

// Set has it go on from a state.
func (s *Server) Set(k *Keyspace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = k.Copy()
	s.cut()
}

// Commands gives how often each command came, by its name in small letters.
func (s *Server) Commands() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]int{}
	for name, n := range s.commands {
		all[name] = n
	}
	return all
}

// session is one connection's state.
type session struct {
	w        *bufio.Writer
	protocol int
	known    bool // has said who it is, or need not
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	ses := &session{w: bufio.NewWriter(c), protocol: 2, known: s.Password == ""}
	for {
		args, err := readCommand(in)
		var bad *protocolError
		if errors.As(err, &bad) {
			ses.answer(fault("ERR Protocol error: " + bad.Error()))
			ses.w.Flush()
			return
		}
		if err != nil || !s.bear(c) {
			return
		}
		if len(args) == 0 {
			continue
		}
		answer, drop := s.do(ses, args)
		if drop {
			continue
		}
		ses.answer(answer)
		if in.Buffered() == 0 && ses.w.Flush() != nil {
			return
		}
	}
}

// bear waits out what troubles ask for; false: the connection has ended meanwhile.
func (s *Server) bear(c net.Conn) bool {
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		t, open := s.troubles, s.conns[c] && s.listener != nil
		s.mu.Unlock()
		if !open {
			return false
		}
		if !t.Stall && time.Since(began) >= t.Slow {
			return true
		}
	}
}

// do carries out one command; drop: it is not answered.
func (s *Server) do(ses *session, args []string) (answer any, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := strings.ToLower(args[0])
	s.commands[name]++
	if s.troubles.Loads {
		return fault("LOADING Redis is loading the dataset in memory"), false
	}
	switch name {
	case "hello":
		return s.hello(ses, args[1:]), false
	case "auth":
		if len(args) < 2 || len(args) > 3 {
			return fault("ERR wrong number of arguments for 'auth' command"), false
		}
		user := "default"
		if len(args) == 3 {
			user = args[1]
		}
		return s.auth(ses, user, args[len(args)-1]), false
	}
	if !ses.known {
		return fault("NOAUTH Authentication required."), false
	}
	switch name {
	case "ping":
		return simple("PONG"), s.troubles.Drop
	case "client":
		return simple("OK"), s.troubles.Drop
	case "select":
		if len(args) == 2 && args[1] == "0" {
			return simple("OK"), s.troubles.Drop
		}
		return fault("ERR DB index is out of range"), false
	}
	if answer = s.keys.Do(time.Now(), args); answer == nil {
		quoted := ""
		for _, a := range args[1:min(len(args), 4)] {
			quoted += "'" + a[:min(len(a), 128)] + "' "
		}
		answer = fault(fmt.Sprintf("ERR unknown command '%s', with args beginning with: %s", args[0], quoted))
	}
	return answer, s.troubles.Drop
}

func (s *Server) auth(ses *session, user, password string) any {
	want := s.User
	if want == "" {
		want = "default"
	}
	if s.Password == "" {
		return fault("ERR AUTH <password> called without any password configured for the default user. Are you sure your configuration is correct?")
	}
	if user != want || password != s.Password {
		return fault("WRONGPASS invalid username-password pair or user is disabled.")
	}
	ses.known = true
	return simple("OK")
}

// hello answers HELLO [protocol [AUTH user password] [SETNAME name]].
func (s *Server) hello(ses *session, args []string) any {
	protocol := ses.protocol
	if len(args) > 0 {
		n, err := strconv.Atoi(args[0])
		if err != nil {
			return fault("ERR Protocol version is not an integer or out of range")
		}
		if n != 2 && n != 3 {
			return fault("NOPROTO unsupported protocol version")
		}
		protocol, args = n, args[1:]
	}
	for len(args) > 0 {
		switch option := strings.ToLower(args[0]); {
		case option == "auth" && len(args) >= 3:
			if f, ok := s.auth(ses, args[1], args[2]).(fault); ok {
				return f
			}
			args = args[3:]
		case option == "setname" && len(args) >= 2:
			args = args[2:]
		default:
			return fault("ERR Syntax error in HELLO option '" + args[0] + "'")
		}
	}
	if !ses.known {
		return fault("NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time")
	}
	ses.protocol = protocol
	return pairs{"server", "redis", "version", "7.2.0", "proto", protocol, "id", 1, "mode", "standalone", "role", "master",
		"modules", array{}}
}
