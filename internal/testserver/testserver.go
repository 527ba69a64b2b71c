// Package testserver provides an HTTP server that can move to another address. The fakes of the services that an
// assigner uses are built on it.
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

// freeLoopbackPort is the address to listen at for a free port of the loopback address, which the kernel chooses.
const freeLoopbackPort = "127.0.0.1:0"

// readHeaderTimeout is the maximum time for reading the header of a request.
const readHeaderTimeout = 10 * time.Second

// Server serves an HTTP handler at one address at a time. Its methods are safe for concurrent use, except that calls
// of Move must not overlap.
type Server struct {
	handler   http.Handler
	mu        sync.Mutex        // mu guards the fields below
	servers   []*http.Server    // HTTP servers of all addresses so far; the last server serves the current address
	serveDone chan struct{}     // channel that is closed when the Serve method of the current HTTP server has returned
	listener  net.Listener      // listener at the current address
	idleConns map[net.Conn]bool // set of the connections without a pending request
}

// New starts a server that listens at an address. For an empty address it listens at a free port of the loopback
// address. The caller must close the server.
func New(address string, handler http.Handler) (*Server, error) {
	s := &Server{handler: handler, idleConns: map[net.Conn]bool{}}
	return s, s.listenAndServe(address)
}

// listenAndServe listens at an address and starts an HTTP server there. It returns as soon as the server accepts
// connections.
func (s *Server) listenAndServe(address string) error {
	if address == "" {
		address = freeLoopbackPort
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("test server: %w", err)
	}
	server := &http.Server{Handler: s.handler, ConnState: s.trackIdleConns, ReadHeaderTimeout: readHeaderTimeout}
	s.mu.Lock()
	defer s.mu.Unlock()
	serveDone := make(chan struct{})
	s.servers = append(s.servers, server)
	s.serveDone = serveDone
	s.listener = listener
	go func() {
		_ = server.Serve(listener) // Serve returns an error only because Move or Close has closed the listener
		close(serveDone)
	}()
	return nil
}

// trackIdleConns keeps the set of idle connections up to date. The HTTP servers call it when a connection changes
// its state.
func (s *Server) trackIdleConns(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idleConns, conn)
	if state == http.StateIdle {
		s.idleConns[conn] = true
	}
}

// Address returns the address at which the server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Move makes the server listen at another address. For an empty address it listens at a free port of the loopback
// address. The server stops accepting connections at the old address at once, and closes the open connections there
// after a delay. Move must not be called by two goroutines at the same time.
func (s *Server) Move(newAddress string, closeDelay time.Duration) error {
	s.mu.Lock()
	listener, server, serveDone := s.listener, s.servers[len(s.servers)-1], s.serveDone
	s.mu.Unlock()
	if err := listener.Close(); err != nil {
		return fmt.Errorf("test server: %w", err)
	}
	// The HTTP server forgets its listener when its Serve method returns. If its Close method ran before that, Close
	// would close the listener for the second time and return an error.
	<-serveDone
	// The error of Close is ignored. It can only report that the listener is closed twice, which cannot happen here.
	time.AfterFunc(closeDelay, func() { _ = server.Close() })
	return s.listenAndServe(newAddress)
}

// CloseIdleConnections closes the connections without a pending request, as a server does after an idle timeout. It
// returns the number of closed connections.
func (s *Server) CloseIdleConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.idleConns {
		_ = conn.Close() // Close fails if the connection has been closed in the meantime
	}
	closedCount := len(s.idleConns)
	clear(s.idleConns)
	return closedCount
}

// Close stops the server and closes all its connections, including the connections at old addresses.
func (s *Server) Close() error {
	// The mutex must not be held while the HTTP servers close, because they call trackIdleConns, which locks it.
	s.mu.Lock()
	servers := slices.Clone(s.servers)
	s.mu.Unlock()
	var err error
	for _, server := range servers {
		err = errors.Join(err, server.Close())
	}
	return err
}
