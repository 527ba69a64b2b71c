// Package testserver provides an HTTP server that can move to another address, for the fakes of the services that an
// assigner uses.
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

// freePort makes the kernel choose a port.
const freePort = "127.0.0.1:0"

// readHeaderTimeout bounds the time for reading the header of a request.
const readHeaderTimeout = 10 * time.Second

// Server serves a handler at one address at a time. Several goroutines may call its methods.
type Server struct {
	handler  http.Handler
	mu       sync.Mutex
	servers  []*http.Server    // one for each address so far, the current one last
	served   chan struct{}     // closed when Serve of the current server has returned
	listener net.Listener      // of the current address
	idle     map[net.Conn]bool // connections without a pending request
}

// New starts a server at an address; an empty address stands for a free port on the loopback address. The caller closes the
// server.
func New(address string, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, idle: map[net.Conn]bool{}}
	return s, s.open(address)
}

// open starts serving at an address.
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
	served := make(chan struct{})
	s.servers = append(s.servers, server)
	s.served = served
	s.listener = listener
	go func() {
		_ = server.Serve(listener) // returns an error when Move or Close closes the listener
		close(served)
	}()
	return nil
}

// connState keeps idle up to date. The HTTP servers call it when a connection changes its state.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, conn)
	if state == http.StateIdle {
		s.idle[conn] = true
	}
}

// Address returns the address at which the server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Move makes the server listen at another address; an empty address stands for a free port. The old address accepts no
// connections any more, and its open connections are closed after a delay. It must not be called by two goroutines at once.
func (s *Server) Move(to string, closeAfter time.Duration) error {
	s.mu.Lock()
	listener, server, served := s.listener, s.servers[len(s.servers)-1], s.served
	s.mu.Unlock()
	if err := listener.Close(); err != nil {
		return fmt.Errorf("test server: %w", err)
	}
	// Until Serve has returned, Close of the server would close the listener again and return an error.
	<-served
	time.AfterFunc(closeAfter, func() { _ = server.Close() }) // its only error is that of the closed listener
	return s.open(to)
}

// CloseIdle closes the connections without a pending request, as a server does after an idle timeout, and returns their
// number.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.idle {
		_ = conn.Close() // fails if the client has closed it at the same time
	}
	n := len(s.idle)
	clear(s.idle)
	return n
}

// Close stops the server and closes all its connections.
func (s *Server) Close() error {
	// The lock must not be held while the servers close, because they call connState.
	s.mu.Lock()
	servers := slices.Clone(s.servers)
	s.mu.Unlock()
	var err error
	for _, server := range servers {
		err = errors.Join(err, server.Close())
	}
	return err
}
