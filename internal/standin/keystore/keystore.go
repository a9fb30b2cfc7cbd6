// Package keystore is the repository's own stand-in for a Redis server.
package keystore

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server speaks as much of the Redis protocol as a store needs: GET, SET with NX and PX, DEL, WATCH, UNWATCH, MULTI and
// EXEC. Its data outlives a restart of its listener.
type Server struct {
	mu      sync.Mutex
	data    map[string]string
	until   map[string]time.Time
	version map[string]int
	silent  bool // it reads, and does not answer
	conns   []net.Conn
}

// New makes a server without keys.
func New() *Server {
	return &Server{data: map[string]string{}, until: map[string]time.Time{}, version: map[string]int{}}
}

// Serve answers on l until it is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.talk(conn)
	}
}

func (s *Server) talk(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	watched := map[string]int{}
	var queue [][]string
	multi := false
	for {
		args, err := command(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		out := ""
		switch name := strings.ToUpper(args[0]); {
		case name == "MULTI":
			multi, queue, out = true, nil, "+OK\r\n"
		case name == "EXEC":
			multi, out = false, fmt.Sprintf("*%d\r\n", len(queue))
			for key, v := range watched {
				if s.version[key] != v {
					out, queue = "*-1\r\n", nil
				}
			}
			for _, q := range queue {
				out += s.do(q)
			}
			clear(watched)
		case multi:
			queue, out = append(queue, args), "+QUEUED\r\n"
		case name == "WATCH":
			watched[args[1]], out = s.version[args[1]], "+OK\r\n"
		case name == "UNWATCH":
			clear(watched)
			out = "+OK\r\n"
		default:
			out = s.do(args)
		}
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			io.WriteString(conn, out)
		}
	}
}

func (s *Server) do(args []string) string {
	key := ""
	if len(args) > 1 {
		key = args[1]
	}
	if t, ok := s.until[key]; ok && time.Now().After(t) {
		delete(s.data, key)
	}
	old, there := s.data[key]
	switch strings.ToUpper(args[0]) {
	case "GET":
		if !there {
			return "$-1\r\n"
		}
		return fmt.Sprintf("$%d\r\n%s\r\n", len(old), old)
	case "SET":
		options := strings.ToUpper(strings.Join(args[3:], " "))
		if there && strings.Contains(options, "NX") {
			return "$-1\r\n"
		}
		delete(s.until, key)
		for i, a := range args[:len(args)-1] {
			unit := map[string]time.Duration{"PX": time.Millisecond, "EX": time.Second}[strings.ToUpper(a)]
			if n, err := strconv.Atoi(args[i+1]); i > 2 && unit > 0 && err == nil {
				s.until[key] = time.Now().Add(time.Duration(n) * unit)
			}
		}
		s.data[key] = args[2]
		s.version[key]++
		return "+OK\r\n"
	case "DEL":
		delete(s.data, key)
		s.version[key]++
		return ":1\r\n"
	}
	return "-ERR unknown command\r\n"
}

func command(in *bufio.Reader) ([]string, error) {
	number := func(mark byte) (int, error) {
		line, err := in.ReadString('\n')
		if err != nil || line[0] != mark {
			return 0, fmt.Errorf("%q: %v", line, err)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := number('*')
	args := make([]string, n)
	for i := range args {
		size, err := number('$')
		if err != nil {
			return nil, err
		}
		p := make([]byte, size+2)
		if _, err := io.ReadFull(in, p); err != nil {
			return nil, err
		}
		args[i] = string(p[:size])
	}
	return args, err
}

// Stop ends its connections.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// Put writes a key.
func (s *Server) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data[key] = value
}

// Silence has it read, and not answer, or answer again.
func (s *Server) Silence(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}
