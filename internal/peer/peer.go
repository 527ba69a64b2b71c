// Package peer carries the short messages between assigners, as UDP datagrams.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/backoff"
	"madderhollow/internal/eventqueue"
)

const (
	// maxMessageSize is the protocol's limit, in bytes; a longer one voids all.
	maxMessageSize = 256
	// readRetryDelay is the delay after a failed read, so that a broken socket burns no core.
	readRetryDelay = 10 * time.Millisecond
	// openRetryDelay is the delay between attempts to open the socket: the process before may hold it still, for as long as
	// it takes to die.
	openRetryDelay = 100 * time.Millisecond
)

// Socket owns the datagram socket. Send may be called by any goroutine.
type Socket struct {
	address netip.AddrPort
	conn    atomic.Pointer[net.UDPConn] // nil: not open yet
	peers   []netip.AddrPort            // by number
	numbers map[netip.AddrPort]int      // of the peers, by address
	all     netip.AddrPort              // reaches all peers; invalid: there is no such address
	sink    eventqueue.Sink
	log     zerolog.Logger
}

// Open listens for the peers, given in the order of their numbers. Where the address is not to be had yet, Run tries on:
// no decision needs what peers say.
func Open(listen, all string, peers []string, sink eventqueue.Sink, log zerolog.Logger) (*Socket, error) {
	socket := &Socket{numbers: map[netip.AddrPort]int{}, sink: sink, log: log}
	var err error
	for number, peer := range peers {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		socket.peers = append(socket.peers, address)
		socket.numbers[address] = number
	}
	if all != "" {
		if socket.all, err = netip.ParseAddrPort(all); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	if socket.address, err = netip.ParseAddrPort(listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if err := socket.open(); err != nil {
		socket.log.Warn().Err(err).Msg("peers are not heard yet")
	}
	return socket, nil
}

func (s *Socket) open() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.address))
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	s.conn.Store(conn)
	return nil
}

// Run reads until the context ends and then gives the socket back.
func (s *Socket) Run(ctx context.Context) {
	conn := s.awaitOpen(ctx)
	if conn == nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // which ends the read under way
	defer stop()
	defer func() { _ = conn.Close() }() // an error says that it was closed before
	buffer := make([]byte, maxMessageSize+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryDelay)
			continue
		}
		if s.receive(ctx, from, buffer[:n]) != nil {
			return
		}
	}
}

// awaitOpen waits until the socket is open; nil: the context ended before.
func (s *Socket) awaitOpen(ctx context.Context) *net.UDPConn {
	for s.conn.Load() == nil {
		if backoff.Sleep(ctx, openRetryDelay); ctx.Err() != nil {
			return nil
		}
		if s.open() == nil {
			s.log.Info().Msg("peers are heard")
		}
	}
	return s.conn.Load()
}

// receive hands on a datagram of a peer. The error is the sink's.
func (s *Socket) receive(ctx context.Context, from netip.AddrPort, data []byte) error {
	number, known := s.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known || len(data) > maxMessageSize {
		s.log.Warn().Str("from", from.String()).Int("bytes", len(data)).Msg("datagram dropped")
		return nil
	}
	return s.sink(ctx, assign.PeerMessageReceived{From: number, Data: append([]byte(nil), data...)})
}

// Send sends to one peer, by its number, or to all where to is negative. What cannot be sent is logged; while the socket
// is not open it goes nowhere.
func (s *Socket) Send(to int, data []byte) {
	conn := s.conn.Load()
	if conn == nil {
		return
	}
	address := s.all
	if to >= 0 && to < len(s.peers) {
		address = s.peers[to]
	}
	if !address.IsValid() || len(data) > maxMessageSize || to >= len(s.peers) {
		s.log.Error().Int("to", to).Int("bytes", len(data)).Msg("datagram not sent")
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, address); err != nil {
		s.log.Warn().Err(err).Msg("datagram not sent")
	}
}
