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
)

// most is the protocol's limit; a longer one voids all.
const most = 256

// again is the pause after a failed read, so that a broken socket burns no core, and openAgain that between tries to
// open it: the process before may hold it still, for as long as it takes to die.
const (
	again     = 10 * time.Millisecond
	openAgain = 100 * time.Millisecond
)

// Sink takes an event; it may wait.
type Sink func(context.Context, assign.Event) error

// Socket owns the datagram socket.
type Socket struct {
	at    netip.AddrPort
	conn  atomic.Pointer[net.UDPConn] // nil: not open yet
	ranks map[netip.AddrPort]int
	peers []netip.AddrPort
	all   netip.AddrPort
	sink  Sink
	log   zerolog.Logger
}

// Open listens for the peers, in the order of their numbers. Where the address is not to be had yet, Run tries on: no
// decision needs what peers say.
func Open(listen, all string, peers []string, sink Sink, log zerolog.Logger) (*Socket, error) {
	s := &Socket{ranks: map[netip.AddrPort]int{}, sink: sink, log: log}
	for i, p := range peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		s.peers, s.ranks[a] = append(s.peers, a), i
	}
	if all != "" {
		a, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
		s.all = a
	}
	a, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	s.at = a
	if err := s.open(); err != nil {
		s.log.Warn().Err(err).Msg("peers are not heard yet")
	}
	return s, nil
}

func (s *Socket) open() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.at))
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	s.conn.Store(conn)
	return nil
}

// Run reads until the context ends and then gives the socket back.
func (s *Socket) Run(ctx context.Context) {
	for s.conn.Load() == nil {
		if backoff.Sleep(ctx, openAgain); ctx.Err() != nil {
			return
		}
		if s.open() == nil {
			s.log.Info().Msg("peers are heard")
		}
	}
	conn := s.conn.Load()
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	buf := make([]byte, most+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(again)
			continue
		}
		rank, ok := s.ranks[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > most {
			s.log.Warn().Str("from", from.String()).Int("bytes", n).Msg("datagram dropped")
			continue
		}
		if s.sink(ctx, assign.PeerMessageReceived{From: rank, Data: append([]byte(nil), buf[:n]...)}) != nil {
			return
		}
	}
}

// Tell sends to one peer, or to all of them.
func (s *Socket) Tell(to int, data []byte) {
	a := s.all
	if to >= 0 && to < len(s.peers) {
		a = s.peers[to]
	}
	conn := s.conn.Load()
	if conn == nil {
		return
	}
	if !a.IsValid() || len(data) > most || to >= len(s.peers) {
		s.log.Error().Int("to", to).Int("bytes", len(data)).Msg("datagram not sent")
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, a); err != nil {
		s.log.Warn().Err(err).Msg("datagram not sent")
	}
}
