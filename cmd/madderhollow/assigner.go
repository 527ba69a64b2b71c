package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"madderhollow/assign"
	"madderhollow/internal/config"
	"madderhollow/internal/configreload"
	"madderhollow/internal/discovery"
	"madderhollow/internal/eventloop"
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/handover"
	"madderhollow/internal/orderqueue"
	"madderhollow/internal/peer"
	"madderhollow/internal/relay"
	"madderhollow/internal/reportserver"
	"madderhollow/internal/status"
	"madderhollow/internal/wire"
)

const (
	// maxLogRate bounds the log, in lines a second, apart from the lines of package loglimit, which have bounds of their
	// own. Further lines are dropped, so that a repeated failure cannot fill a disk.
	maxLogRate = 50
	// maxLogBuffered bounds the lines that wait for a slow reader of the log. Further lines are dropped, because writing
	// a line must not block.
	maxLogBuffered = 1000
	// logPollInterval 0 makes the log writer wait for the next line instead of polling for it.
	logPollInterval = 0
)

// ignoreDroppedLines is called with the number of lines that a slow reader of the log has missed. They cannot be logged.
func ignoreDroppedLines(int) {}

// assigner holds the program's parts. Each part owns its connections and goroutines.
type assigner struct {
	config        *config.Config
	log           zerolog.Logger // for the parts, which add their component
	ownLog        zerolog.Logger // for the start and the end
	random        *rand.Rand     // source of the seeds: of the listener, of the parts in the order of makeParts, of the status page
	startedAt     time.Time
	codec         *wire.Codec
	discoveryAt   *handover.Address
	relayAt       *handover.Address
	events        *eventqueue.Queue
	orders        *orderqueue.Queue
	watcher       *discovery.Watcher
	client        *relay.OrderClient
	reader        *relay.EventReader
	server        *reportserver.Server
	peers         *peer.Socket // nil unless config.PeerMessagesEnabled
	loop          *eventloop.Loop
	reloader      *configreload.Reloader
	statusAddress string // empty: no status page
}

// serve runs an assigner until the context ends. Each signal on reload makes it read its configuration file again. It
// returns an error only if the assigner could not start.
func serve(ctx context.Context, cfg *config.Config, reload <-chan os.Signal, statusAddress string, logs io.Writer) error {
	startedAt := time.Now()
	codec := wire.NewCodec(cfg.Settings, eventloop.ClockZero(startedAt))
	initial, err := codec.ConvertEndpointList(cfg.InitialEndpoints)
	if err != nil {
		return fmt.Errorf("configuration: initial endpoints: %w", err)
	}
	writerOnly := struct{ io.Writer }{logs} // hides Close, which the diode would call
	logWriter := diode.NewWriter(writerOnly, maxLogBuffered, logPollInterval, ignoreDroppedLines)
	defer func() { _ = logWriter.Close() }() // the log is the only place for an error, and it is closed
	log := newLogger(logWriter, cfg.Name)
	assigner := &assigner{
		config:        cfg,
		log:           log,
		ownLog:        log.With().Str("component", "assigner").Logger(),
		random:        rand.New(rand.NewSource(cfg.Seed)),
		startedAt:     startedAt,
		codec:         codec,
		statusAddress: statusAddress,
	}
	listener, err := listen(ctx, cfg.ListenAddress, assigner.random.Int63(), log)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }() // fails if the report server has closed it already
	if err := assigner.makeParts(initial.Version); err != nil {
		return err
	}
	// The parts do not run yet. The assigner is ready once the report server answers, see run.
	assigner.ownLog.Info().Int("endpoints", len(initial.Endpoints)).Int("version", initial.Version).Msg("started")
	assigner.run(ctx, initial, listener, reload)
	assigner.ownLog.Info().EmbedObject(assigner.counters()).Msg("ended")
	return nil
}

// newLogger returns a logger that writes at most maxLogRate lines a second.
func newLogger(w io.Writer, name string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("assigner", name).Logger().
		Sample(&zerolog.BurstSampler{Burst: maxLogRate, Period: time.Second})
}

// makeParts creates all parts except the status page. The listVersion is that of the endpoint list with which the
// decision module starts. Seeds are drawn in the order of the parts.
func (a *assigner) makeParts(listVersion int) error {
	a.events = eventqueue.New()
	a.orders = orderqueue.New(orderqueue.Config{Channel: a.config.Settings.Channel, Encoder: a.codec, Log: a.log})
	if err := a.makeWatcher(listVersion); err != nil {
		return err
	}
	a.makeRelayClients()
	a.server = reportserver.New(reportserver.Config{
		Codec:           a.codec,
		Sink:            a.events.PostReport,
		DescriptorLimit: a.config.MaxFileDescriptors,
		ZoneCount:       len(a.config.Settings.Zones),
		MemoryLimitMB:   a.config.MemoryLimitMB,
		Log:             a.log,
	})
	if err := a.makePeerSocket(); err != nil {
		return err
	}
	a.makeEventLoop()
	a.reloader = configreload.New(configreload.Config{
		FilePath:         a.config.FilePath,
		DiscoveryAddress: a.discoveryAt,
		RelayAddress:     a.relayAt,
		Log:              a.log,
	})
	return nil
}

// makeWatcher creates the client of the discovery agent.
func (a *assigner) makeWatcher(listVersion int) (err error) {
	a.discoveryAt = handover.NewAddress(a.config.DiscoveryAddress)
	a.watcher, err = discovery.New(discovery.Config{
		Address:        a.discoveryAt,
		InitialVersion: listVersion,
		Codec:          a.codec,
		Sink:           a.events.PostEvent,
		MemoryLimitMB:  a.config.MemoryLimitMB,
		Seed:           a.random.Int63(),
		Log:            a.log,
	})
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// makeRelayClients creates the clients of the relay: one sends orders, the other reads events.
func (a *assigner) makeRelayClients() {
	a.relayAt = handover.NewAddress(a.config.RelayAddress)
	a.client = relay.NewOrderClient(relay.OrderClientConfig{
		Address: a.relayAt,
		Queue:   a.orders,
		Seed:    a.random.Int63(),
		Log:     a.log,
	})
	a.reader = relay.NewEventReader(relay.EventReaderConfig{
		Address: a.relayAt,
		Codec:   a.codec,
		Sink:    a.events.PostEvent,
		Seed:    a.random.Int63(),
		Log:     a.log,
	})
}

// makePeerSocket opens the datagram socket if the configuration uses peers.
func (a *assigner) makePeerSocket() (err error) {
	if !a.config.PeerMessagesEnabled() {
		return nil
	}
	a.peers, err = peer.Open(peer.Config{
		ListenAddress:    a.config.PeerListenAddress,
		PeerAddresses:    a.config.PeerAddresses,
		BroadcastAddress: a.config.PeerBroadcastAddress,
		Sink:             a.events.PostEvent,
		Log:              a.log,
	})
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}

// makeEventLoop creates the event loop and connects the other parts to it.
func (a *assigner) makeEventLoop() {
	a.loop = eventloop.New(eventloop.Config{
		Seed:     a.config.Seed,
		Settings: a.config.Settings,
		Inputs: eventloop.Inputs{
			Events:           a.events.Events(),
			Reports:          a.events.Reports(),
			PreprocessEvents: a.orders.PreprocessEvents,
		},
		Outputs: eventloop.Outputs{
			SubmitOrders:    a.orders.Submit,
			WatchEndpoints:  a.watcher.SetFailureReporting,
			FetchEndpoints:  a.watcher.RequestFullList,
			SendPeerMessage: a.sendPeerMessage,
		},
		StartedAt: a.startedAt,
		Log:       a.log,
	})
}

// sendPeerMessage sends a message to another assigner. It drops the message if there is no peer socket.
func (a *assigner) sendPeerMessage(to int, data []byte) {
	if a.peers != nil {
		a.peers.Send(to, data)
	}
}

// run runs the parts until the context ends and all of them have returned. The order client's context ends with the event
// loop, so that it can send the last orders. The report server starts after the first batch, because its answer to a ping
// means that the assigner is ready.
func (a *assigner) run(ctx context.Context, initial assign.EndpointUpdate, listener net.Listener, reload <-chan os.Signal) {
	loopEnded, endLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer endLoop()
	ready := make(chan struct{})
	var parts supervisor
	parts.add("discovery", a.watcher.Run)
	parts.add("relay events", a.reader.Run)
	parts.add("relay calls", func(context.Context) { a.client.Run(loopEnded) })
	parts.add("reload", func(ctx context.Context) { a.reloader.Run(ctx, reload) })
	if a.peers != nil {
		parts.add("peers", a.peers.Run)
	}
	if a.statusAddress != "" {
		seed := a.random.Int63()
		parts.add("status page", func(ctx context.Context) { a.serveStatus(ctx, seed) })
	}
	parts.add("event loop", func(ctx context.Context) {
		defer endLoop()
		a.loop.Run(ctx, []assign.Event{initial}, func() { close(ready) })
	})
	parts.add("report server", func(ctx context.Context) {
		<-ready
		a.server.Serve(ctx, listener)
	})
	parts.run(ctx)
}

// serveStatus runs the status page until the context ends. The other parts do not depend on it.
func (a *assigner) serveStatus(ctx context.Context, seed int64) {
	listener, err := listen(ctx, a.statusAddress, seed, a.log)
	if err == nil {
		err = status.Serve(ctx, listener, func() any { return a.counters() })
	}
	if err != nil && ctx.Err() == nil {
		log := a.log.With().Str("component", "status").Logger()
		log.Error().Err(err).Msg("status page failed")
	}
}
