// Package testserver is an HTTP server on the loopback address that can move to another port, for the fakes of the
// assigner's surroundings.
package testserver

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// freePort is the address at which the kernel chooses a port.
const freePort = "127.0.0.1:0"

// readHeaderTimeout bounds a request's head.
const readHeaderTimeout = 10 * time.Second

// Server serves a handler at one address at a time.
type Server struct {
	handler  http.Handler
	mu       sync.Mutex
	servers  []*http.Server
	listener net.Listener
	idle     map[net.Conn]bool // connections that no request is under way on
}

// New starts a server at an address, or at a free port if that is empty.
func New(address string, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, idle: map[net.Conn]bool{}}
	return s, s.open(address)
}

func (s *Server) open(address string) error {
	if address == "" {
		address = freePort
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("test server: %w", err)
	}
	server := &http.Server{Handler: s.handler, ConnState: s.connState, ReadHeaderTimeout: readHeaderTimeout}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
	s.listener = listener
	go func() { _ = server.Serve(listener) }() // it ends with an error whenever it is closed
	return nil
}

func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, conn)
	if state == http.StateIdle {
		s.idle[conn] = true
	}
}

// Address is where it listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Move opens another address, a free port if that is empty. The one before takes no new connection, and its open ones
// close after a time.
func (s *Server) Move(to string, after time.Duration) error {
	s.mu.Lock()
	listener, server := s.listener, s.servers[len(s.servers)-1]
	s.mu.Unlock()
	if err := listener.Close(); err != nil {
		return fmt.Errorf("test server: %w", err)
	}
	time.AfterFunc(after, func() { _ = server.Close() }) // nobody is left to be told
	return s.open(to)
}

// CloseIdle closes the connections that no request is under way on, as servers do after a while, and tells how many.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.idle {
		_ = conn.Close() // the client may have closed it at the same time
	}
	n := len(s.idle)
	clear(s.idle)
	return n
}

// Close ends it and all its connections. It waits for servers whose state changes need the lock.
func (s *Server) Close() error {
	s.mu.Lock()
	servers := slices.Clone(s.servers)
	s.mu.Unlock()
	var err error
	for _, server := range servers {
		err = errors.Join(err, server.Close())
	}
	return err
}
