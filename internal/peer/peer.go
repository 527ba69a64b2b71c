// Package peer exchanges short messages between assigners as UDP datagrams. Delivery is not guaranteed, and no decision
// depends on it: without a socket the assigner works on. Socket.Run receives in the goroutine that calls it and blocks until
// its context ends; Socket.Send may be called by any goroutine and does not block for longer than a system call.
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
	"madderhollow/internal/conditionlog"
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/loglimit"
)

const (
	// maxMessageSize is the protocol's limit on a datagram, in bytes. The platform forbids longer ones.
	maxMessageSize = 256
	// readRetryDelay is the pause after a failed read. It keeps a broken socket from using a whole core.
	readRetryDelay = 10 * time.Millisecond
	// bindRetryDelay is the pause between attempts to bind the socket. A previous process may hold the address until it has
	// ended.
	bindRetryDelay = 100 * time.Millisecond
)

// Errors of datagrams that are dropped.
var (
	ErrUnknownPeer    = errors.New("unknown peer")
	ErrMessageTooLong = fmt.Errorf("message longer than %d bytes", maxMessageSize)
)

// Config configures a Socket. Addresses are IP:port.
type Config struct {
	Listen    string          // address to bind; required
	Peers     []string        // addresses of all assigners, in the order of their numbers; default: none
	Broadcast string          // address that reaches all peers; default: there is none
	Sink      eventqueue.Sink // receives assign.PeerMessageReceived; Run blocks while it does; required
	Log       zerolog.Logger
}

// Socket owns the datagram socket. Send may be called by any goroutine at any time, Run once.
type Socket struct {
	listen    netip.AddrPort
	conn      atomic.Pointer[net.UDPConn] // nil: not bound
	peers     []netip.AddrPort            // by number
	numbers   map[netip.AddrPort]int      // of the peers, by address
	broadcast netip.AddrPort              // invalid: there is none
	sink      eventqueue.Sink
	log       zerolog.Logger
	dropLog   zerolog.Logger          // of dropped datagrams, limited because anybody may send any number
	binding   *conditionlog.Condition // used by Open and then by Run alone
}

// Open validates the addresses and tries to bind the socket. A failed bind is no error: Run repeats it. The caller must call
// Run, which closes the socket.
func Open(config Config) (*Socket, error) {
	log := config.Log.With().Str("component", "peer").Logger()
	socket := &Socket{
		numbers: map[netip.AddrPort]int{},
		sink:    config.Sink,
		log:     log,
		dropLog: loglimit.New(log),
		binding: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "peer socket bind failed; retrying",
			Recovered: "peer socket bound",
		}),
	}
	if err := socket.setAddresses(config); err != nil {
		return nil, err
	}
	socket.bind()
	return socket, nil
}

// setAddresses parses the configured addresses.
func (s *Socket) setAddresses(config Config) error {
	for number, peer := range config.Peers {
		address, err := parseAddress(fmt.Sprintf("address of peer %d", number), peer)
		if err != nil {
			return err
		}
		s.peers = append(s.peers, address)
		s.numbers[address] = number
	}
	var err error
	if config.Broadcast != "" {
		if s.broadcast, err = parseAddress("peer broadcast address", config.Broadcast); err != nil {
			return err
		}
	}
	s.listen, err = parseAddress("peer listen address", config.Listen)
	return err
}

// parseAddress parses an IP:port. Errors begin with what the address is.
func parseAddress(what, address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%s: %w", what, err)
	}
	return parsed, nil
}

// bind makes one attempt to bind the socket, and logs if it failed.
func (s *Socket) bind() {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.listen))
	if err != nil {
		s.binding.Fail(err, nil)
		return
	}
	s.binding.Recover()
	s.conn.Store(conn)
}

// Run receives datagrams until the context ends, and then closes the socket. While the socket is not bound it tries to bind
// it.
func (s *Socket) Run(ctx context.Context) {
	conn := s.awaitBound(ctx)
	if conn == nil {
		return
	}
	closeConn := func() { _ = conn.Close() }  // the only error is that it is closed already
	stop := context.AfterFunc(ctx, closeConn) // unblocks the read
	defer stop()
	defer closeConn()
	reading := conditionlog.New(conditionlog.Config{
		Log:       s.log,
		Failing:   "datagram read failed; retrying",
		Recovered: "datagram read succeeded",
	})
	buffer := make([]byte, maxMessageSize+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			reading.Fail(err, nil)
			backoff.Sleep(ctx, readRetryDelay)
			continue
		}
		reading.Recover()
		if s.receive(ctx, from, buffer[:n]) != nil {
			return
		}
	}
}

// awaitBound blocks until the socket is bound. It returns nil if the context ends before.
func (s *Socket) awaitBound(ctx context.Context) *net.UDPConn {
	for s.conn.Load() == nil {
		if backoff.Sleep(ctx, bindRetryDelay); ctx.Err() != nil {
			return nil
		}
		s.bind()
	}
	return s.conn.Load()
}

// receive passes a datagram of a peer to the sink and drops any other. The error is the sink's.
func (s *Socket) receive(ctx context.Context, from netip.AddrPort, data []byte) error {
	number, err := s.sender(from, data)
	if err != nil {
		s.dropLog.Warn().Err(err).Str("from", from.String()).Int("bytes", len(data)).Msg("datagram dropped")
		return nil
	}
	return s.sink(ctx, assign.PeerMessageReceived{From: number, Data: append([]byte(nil), data...)})
}

// sender returns the number of the peer that sent a datagram.
func (s *Socket) sender(from netip.AddrPort, data []byte) (number int, err error) {
	number, known := s.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		return 0, ErrUnknownPeer
	}
	if len(data) > maxMessageSize {
		return 0, ErrMessageTooLong
	}
	return number, nil
}

// Send sends a message to one peer, by its number, or to all peers if to is negative. It does not block for longer than a
// system call. Errors are logged; while the socket is not bound, messages are dropped.
func (s *Socket) Send(to int, data []byte) {
	conn := s.conn.Load()
	if conn == nil {
		return
	}
	address, err := s.destination(to, data)
	if err != nil {
		s.log.Error().Err(err).Int("to", to).Int("bytes", len(data)).Msg("datagram invalid; not sent")
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, address); err != nil {
		s.log.Warn().Err(err).Int("to", to).Int("bytes", len(data)).Msg("datagram send failed")
	}
}

// destination returns the address for a message.
func (s *Socket) destination(to int, data []byte) (netip.AddrPort, error) {
	address, known := s.address(to)
	if !known {
		return netip.AddrPort{}, ErrUnknownPeer
	}
	if len(data) > maxMessageSize {
		return netip.AddrPort{}, ErrMessageTooLong
	}
	return address, nil
}

// address returns the address of a peer, by its number, or of all peers if the number is negative.
func (s *Socket) address(number int) (address netip.AddrPort, known bool) {
	if number < 0 {
		return s.broadcast, s.broadcast.IsValid()
	}
	if number >= len(s.peers) {
		return netip.AddrPort{}, false
	}
	return s.peers[number], true
}
