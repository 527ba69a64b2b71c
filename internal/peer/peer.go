// Package peer exchanges short messages between assigners as UDP datagrams. Delivery is not guaranteed, and no decision
// depends on these messages, so an assigner keeps working while it has no socket. Socket.Run receives datagrams in the
// goroutine that calls it and blocks until its context ends. Socket.Send may be called by any goroutine and blocks no
// longer than a system call.
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
	// maxMessageSize is the protocol's limit on the size of a datagram, in bytes. The platform forbids longer
	// datagrams.
	maxMessageSize = 256
	// readRetryDelay is the pause after a failed read. Without the pause, the retries on a broken socket would occupy a
	// whole CPU core.
	readRetryDelay = 10 * time.Millisecond
	// bindRetryDelay is the pause between attempts to bind the socket. An attempt can fail because the previous process
	// of the assigner is still shutting down and holds the address.
	bindRetryDelay = 100 * time.Millisecond
)

// Errors for which a received datagram is dropped or a message is not sent.
var (
	ErrUnknownPeer    = errors.New("unknown peer")
	ErrMessageTooLong = fmt.Errorf("message longer than %d bytes", maxMessageSize)
)

// Config configures a Socket. Each address has the form IP:port.
type Config struct {
	ListenAddress    string          // local address to bind; required
	PeerAddresses    []string        // addresses of all assigners, indexed by assigner number; default: none
	BroadcastAddress string          // address that reaches all peers; default: no broadcast address
	Sink             eventqueue.Sink // receives each message as assign.PeerMessageReceived and may block Run; required
	Log              zerolog.Logger
}

// Socket owns the UDP socket. Send may be called by any goroutine at any time. Run must be called exactly once.
type Socket struct {
	listenAddress    netip.AddrPort
	conn             atomic.Pointer[net.UDPConn] // bound socket, or nil while no attempt to bind has succeeded
	peerAddresses    []netip.AddrPort            // addresses of the assigners, indexed by assigner number
	numberByAddress  map[netip.AddrPort]int      // assigner number of each peer address
	broadcastAddress netip.AddrPort              // address that reaches all peers; not valid if none is configured
	sink             eventqueue.Sink
	log              zerolog.Logger
	rateLimitedLog   zerolog.Logger          // logger for dropped datagrams; rate-limited because any host can send many
	bindFailures     *conditionlog.Condition // logs failures to bind the socket; used by Open, afterwards only by Run
}

// Open parses the addresses and makes a first attempt to bind the socket. It returns an error if an address is invalid.
// It returns no error if the bind fails, because Run repeats the attempt. The caller must call Run, which closes the
// socket.
func Open(config Config) (*Socket, error) {
	log := config.Log.With().Str("component", "peer").Logger()
	socket := &Socket{
		numberByAddress: map[netip.AddrPort]int{},
		sink:            config.Sink,
		log:             log,
		rateLimitedLog:  loglimit.New(log),
		bindFailures: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "peer socket bind failed; retrying",
			Recovered: "peer socket bound",
		}),
	}
	if err := socket.parseAddresses(config); err != nil {
		return nil, err
	}
	socket.bind()
	return socket, nil
}

// parseAddresses parses the addresses in config and stores them in the socket.
func (s *Socket) parseAddresses(config Config) error {
	for number, unparsedAddress := range config.PeerAddresses {
		address, err := parseAddress(fmt.Sprintf("address of peer %d", number), unparsedAddress)
		if err != nil {
			return err
		}
		s.peerAddresses = append(s.peerAddresses, address)
		s.numberByAddress[address] = number
	}
	var err error
	if config.BroadcastAddress != "" {
		if s.broadcastAddress, err = parseAddress("peer broadcast address", config.BroadcastAddress); err != nil {
			return err
		}
	}
	s.listenAddress, err = parseAddress("peer listen address", config.ListenAddress)
	return err
}

// parseAddress parses an address of the form IP:port. Its errors begin with the parameter
// description, which names the address.
func parseAddress(description, address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%s: %w", description, err)
	}
	return parsed, nil
}

// bind makes one attempt to bind the socket and records its outcome in bindFailures, which logs failures.
func (s *Socket) bind() {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.listenAddress))
	if err != nil {
		s.bindFailures.RecordFailure(err, nil)
		return
	}
	s.bindFailures.RecordSuccess()
	s.conn.Store(conn)
}

// Run receives datagrams until the context ends and then closes the socket. If Open could not bind the socket, Run
// first repeats the attempt until it succeeds.
func (s *Socket) Run(ctx context.Context) {
	conn := s.awaitBind(ctx)
	if conn == nil {
		return
	}
	closeConn := func() { _ = conn.Close() }  // Close fails only if the socket is closed already
	stop := context.AfterFunc(ctx, closeConn) // closing the socket unblocks a pending read
	defer stop()
	defer closeConn()
	readFailures := conditionlog.New(conditionlog.Config{
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
			readFailures.RecordFailure(err, nil)
			backoff.Sleep(ctx, readRetryDelay)
			continue
		}
		readFailures.RecordSuccess()
		if s.receive(ctx, from, buffer[:n]) != nil {
			return
		}
	}
}

// awaitBind repeats attempts to bind the socket until it is bound, and returns the bound socket. It returns nil if the
// context ends first.
func (s *Socket) awaitBind(ctx context.Context) *net.UDPConn {
	for s.conn.Load() == nil {
		if backoff.Sleep(ctx, bindRetryDelay); ctx.Err() != nil {
			return nil
		}
		s.bind()
	}
	return s.conn.Load()
}

// receive passes a datagram from a peer to the sink. It drops and logs a datagram that is too long or whose sender
// is unknown. An error is returned only if the sink fails.
func (s *Socket) receive(ctx context.Context, from netip.AddrPort, data []byte) error {
	number, err := s.senderNumber(from, data)
	if err != nil {
		s.rateLimitedLog.Warn().Err(err).Str("from", from.String()).Int("bytes", len(data)).Msg("datagram dropped")
		return nil
	}
	return s.sink(ctx, assign.PeerMessageReceived{Source: number, Data: append([]byte(nil), data...)})
}

// senderNumber returns the assigner number of the peer that sent a datagram. It returns ErrUnknownPeer if no peer has
// the sender's address, and ErrMessageTooLong if the datagram exceeds maxMessageSize.
func (s *Socket) senderNumber(from netip.AddrPort, data []byte) (number int, err error) {
	number, known := s.numberByAddress[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		return 0, ErrUnknownPeer
	}
	if len(data) > maxMessageSize {
		return 0, ErrMessageTooLong
	}
	return number, nil
}

// Send sends a message to one peer, or to all peers. The parameter destination is the assigner number of the peer; any
// negative number stands for all peers. Send blocks no longer than a system call. Errors are logged. While the socket
// is not bound, messages are dropped without a log line.
func (s *Socket) Send(destination int, data []byte) {
	conn := s.conn.Load()
	if conn == nil {
		return
	}
	address, err := s.destinationAddress(destination, data)
	if err != nil {
		s.log.Error().Err(err).Int("to", destination).Int("bytes", len(data)).Msg("datagram invalid; not sent")
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, address); err != nil {
		s.log.Warn().Err(err).Int("to", destination).Int("bytes", len(data)).Msg("datagram send failed")
	}
}

// destinationAddress returns the address to which a message is sent. The parameter destination is an assigner number,
// or negative for all peers. destinationAddress returns ErrUnknownPeer if the configuration has no such address, and
// ErrMessageTooLong if the message exceeds maxMessageSize.
func (s *Socket) destinationAddress(destination int, data []byte) (netip.AddrPort, error) {
	address, known := s.peerAddress(destination)
	if !known {
		return netip.AddrPort{}, ErrUnknownPeer
	}
	if len(data) > maxMessageSize {
		return netip.AddrPort{}, ErrMessageTooLong
	}
	return address, nil
}

// peerAddress returns the address of the peer with the assigner number, or the broadcast address if the number is
// negative. The result known reports whether the address is configured.
func (s *Socket) peerAddress(number int) (address netip.AddrPort, known bool) {
	if number < 0 {
		return s.broadcastAddress, s.broadcastAddress.IsValid()
	}
	if number >= len(s.peerAddresses) {
		return netip.AddrPort{}, false
	}
	return s.peerAddresses[number], true
}
