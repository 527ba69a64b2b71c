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
	// maxLogRate is the maximum rate of log lines, in lines per second. Lines above this rate are dropped, so that a
	// repeated failure cannot fill a disk. Lines that package loglimit limits do not count towards this rate.
	maxLogRate = 50
	// maxLogBuffered is the maximum number of log lines that wait for a slow reader of the log. The buffer drops lines
	// that exceed this number, because writing a log line must not block the assigner.
	maxLogBuffered = 1000
	// logPollInterval is the interval at which the log writer polls for buffered lines. The value 0 disables polling:
	// the log writer blocks until the next line arrives.
	logPollInterval = 0
)

// ignoreDroppedLines is the log writer's callback for log lines that were dropped because the reader of the log was
// too slow. It ignores the number of dropped lines, because a log that drops lines cannot report the loss.
func ignoreDroppedLines(int) {}

// assigner holds the components of the program. Each component owns its connections and goroutines.
type assigner struct {
	config           *config.Config
	baseLog          zerolog.Logger // base logger, to which each component adds its own name
	assignerLog      zerolog.Logger // logger of the messages about the start and the end of the process
	seedSource       *rand.Rand     // source of the seeds that listen and the components receive
	startedAt        time.Time
	codec            *wire.Codec
	discoveryAddress *handover.Address
	relayAddress     *handover.Address
	eventQueue       *eventqueue.Queue
	orderQueue       *orderqueue.Queue
	discoveryWatcher *discovery.Watcher
	orderClient      *relay.OrderClient
	eventReader      *relay.EventReader
	reportServer     *reportserver.Server
	peerSocket       *peer.Socket // nil unless the configuration enables datagrams between assigners
	eventLoop        *eventloop.Loop
	reloader         *configreload.Reloader
	statusAddress    string // host:port of the status page; empty if there is no status page
}

// runAssigner runs an assigner until the context ends. Each signal on reloadSignals makes the assigner read its
// configuration file again. An empty statusAddress disables the status page. The log is written to logOutput.
// runAssigner returns an error only if the assigner could not start.
func runAssigner(ctx context.Context, cfg *config.Config, reloadSignals <-chan os.Signal, statusAddress string, logOutput io.Writer) error {
	startedAt := time.Now()
	codec := wire.NewCodec(cfg.Settings, eventloop.ClockZero(startedAt))
	initialUpdate, err := codec.ConvertEndpointList(cfg.InitialEndpoints)
	if err != nil {
		return fmt.Errorf("configuration: initial endpoints: %w", err)
	}
	writerOnly := struct{ io.Writer }{logOutput} // hides the method Close of logOutput, which logWriter would call
	logWriter := diode.NewWriter(writerOnly, maxLogBuffered, logPollInterval, ignoreDroppedLines)
	defer func() { _ = logWriter.Close() }() // an error of Close cannot be reported, because the log is closed
	log := newLogger(logWriter, cfg.Name)
	assigner := &assigner{
		config:        cfg,
		baseLog:       log,
		assignerLog:   log.With().Str("component", "assigner").Logger(),
		seedSource:    rand.New(rand.NewSource(cfg.Seed)),
		startedAt:     startedAt,
		codec:         codec,
		statusAddress: statusAddress,
	}
	listener, err := listen(ctx, cfg.ListenAddress, assigner.seedSource.Int63(), log)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }() // Close fails if the report server has already closed the listener
	if err := assigner.createComponents(initialUpdate.Version); err != nil {
		return err
	}
	// The components are not running yet. The assigner becomes ready when the report server starts, see runComponents.
	assigner.assignerLog.Info().Int("endpoints", len(initialUpdate.Endpoints)).Int("version", initialUpdate.Version).Msg("started")
	assigner.runComponents(ctx, initialUpdate, listener, reloadSignals)
	assigner.assignerLog.Info().EmbedObject(assigner.collectCounters()).Msg("ended")
	return nil
}

// newLogger returns a logger that writes at most maxLogRate lines per second to output. Each line carries the
// assigner's name.
func newLogger(output io.Writer, name string) zerolog.Logger {
	return zerolog.New(output).With().Timestamp().Str("assigner", name).Logger().
		Sample(&zerolog.BurstSampler{Burst: maxLogRate, Period: time.Second})
}

// createComponents creates all components except the status page. The argument listVersion is the version of the
// endpoint list with which the decision module starts. The order of the calls determines which seed each component
// receives.
func (a *assigner) createComponents(listVersion int) error {
	a.eventQueue = eventqueue.New()
	a.orderQueue = orderqueue.New(orderqueue.Config{Channel: a.config.Settings.Channel, Encoder: a.codec, Log: a.baseLog})
	if err := a.createDiscoveryWatcher(listVersion); err != nil {
		return err
	}
	a.createRelayClients()
	a.reportServer = reportserver.New(reportserver.Config{
		Codec:               a.codec,
		Sink:                a.eventQueue.PostReport,
		Crowded:             a.eventQueue.ReportsCrowded,
		FileDescriptorLimit: a.config.FileDescriptorLimit,
		ZoneCount:           len(a.config.Settings.Zones),
		MemoryLimitMB:       a.config.MemoryLimitMB,
		Log:                 a.baseLog,
	})
	if err := a.openPeerSocket(); err != nil {
		return err
	}
	a.createEventLoop()
	a.reloader = configreload.New(configreload.Config{
		FilePath:         a.config.FilePath,
		DiscoveryAddress: a.discoveryAddress,
		RelayAddress:     a.relayAddress,
		Log:              a.baseLog,
	})
	return nil
}

// createDiscoveryWatcher creates the client of the discovery agent.
func (a *assigner) createDiscoveryWatcher(listVersion int) (err error) {
	a.discoveryAddress = handover.NewAddress(a.config.DiscoveryAddress)
	a.discoveryWatcher, err = discovery.New(discovery.Config{
		Address:        a.discoveryAddress,
		InitialVersion: listVersion,
		Codec:          a.codec,
		Sink:           a.eventQueue.PostEvent,
		MemoryLimitMB:  a.config.MemoryLimitMB,
		Seed:           a.seedSource.Int63(),
		Log:            a.baseLog,
	})
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// createRelayClients creates the two clients of the relay. One client sends orders, the other client reads events.
func (a *assigner) createRelayClients() {
	a.relayAddress = handover.NewAddress(a.config.RelayAddress)
	a.orderClient = relay.NewOrderClient(relay.OrderClientConfig{
		Address: a.relayAddress,
		Queue:   a.orderQueue,
		Seed:    a.seedSource.Int63(),
		Log:     a.baseLog,
	})
	a.eventReader = relay.NewEventReader(relay.EventReaderConfig{
		Address: a.relayAddress,
		Codec:   a.codec,
		Sink:    a.eventQueue.PostEvent,
		Seed:    a.seedSource.Int63(),
		Log:     a.baseLog,
	})
}

// openPeerSocket opens the socket for datagrams between assigners if the configuration enables them.
func (a *assigner) openPeerSocket() (err error) {
	if !a.config.PeerMessagesEnabled() {
		return nil
	}
	a.peerSocket, err = peer.Open(peer.Config{
		ListenAddress:    a.config.PeerListenAddress,
		PeerAddresses:    a.config.PeerAddresses,
		BroadcastAddress: a.config.PeerBroadcastAddress,
		Sink:             a.eventQueue.PostEvent,
		Log:              a.baseLog,
	})
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}

// createEventLoop creates the event loop and connects it to the other components.
func (a *assigner) createEventLoop() {
	a.eventLoop = eventloop.New(eventloop.Config{
		Seed:     a.config.Seed,
		Settings: a.config.Settings,
		Inputs: eventloop.Inputs{
			Events:           a.eventQueue.Events(),
			Reports:          a.eventQueue.Reports(),
			PreprocessEvents: a.orderQueue.PreprocessEvents,
		},
		Outputs: eventloop.Outputs{
			SubmitOrders:    a.orderQueue.Submit,
			WatchEndpoints:  a.discoveryWatcher.SetFailureReporting,
			FetchEndpoints:  a.discoveryWatcher.RequestFullList,
			SendPeerMessage: a.sendPeerMessage,
		},
		StartedAt: a.startedAt,
		Log:       a.baseLog,
	})
}

// sendPeerMessage sends a message to the assigner with the given number, or to all assigners if the number is -1. It
// drops the message if the configuration does not enable messages between assigners.
func (a *assigner) sendPeerMessage(to int, data []byte) {
	if a.peerSocket != nil {
		a.peerSocket.Send(to, data)
	}
}

// runComponents runs the components until the context has ended and all components have returned. The context of the
// order client ends only when the event loop has returned, so that the order client can send the event loop's last
// orders. The report server starts after the event loop's first batch, because a client takes the answer to its ping
// as a sign that the assigner is ready.
func (a *assigner) runComponents(ctx context.Context, initialUpdate assign.EndpointUpdate, listener net.Listener, reloadSignals <-chan os.Signal) {
	orderClientCtx, stopOrderClient := context.WithCancel(context.WithoutCancel(ctx))
	defer stopOrderClient()
	firstBatchHandled := make(chan struct{})
	var components supervisor
	components.add("discovery", a.discoveryWatcher.Run)
	components.add("relay events", a.eventReader.Run)
	components.add("relay calls", func(context.Context) { a.orderClient.Run(orderClientCtx) })
	components.add("reload", func(ctx context.Context) { a.reloader.Run(ctx, reloadSignals) })
	if a.peerSocket != nil {
		components.add("peers", a.peerSocket.Run)
	}
	if a.statusAddress != "" {
		seed := a.seedSource.Int63()
		components.add("status page", func(ctx context.Context) { a.serveStatus(ctx, seed) })
	}
	components.add("event loop", func(ctx context.Context) {
		defer stopOrderClient()
		a.eventLoop.Run(ctx, []assign.Event{initialUpdate}, func() { close(firstBatchHandled) })
	})
	components.add("report server", func(ctx context.Context) {
		<-firstBatchHandled
		a.reportServer.Serve(ctx, listener)
	})
	components.run(ctx)
}

// serveStatus serves the status page until the context ends. It logs a failure of the status page and returns, because
// the other components do not depend on the status page.
func (a *assigner) serveStatus(ctx context.Context, seed int64) {
	listener, err := listen(ctx, a.statusAddress, seed, a.baseLog)
	if err == nil {
		err = status.Serve(ctx, listener, func() any { return a.collectCounters() })
	}
	if err != nil && ctx.Err() == nil {
		log := a.baseLog.With().Str("component", "status").Logger()
		log.Error().Err(err).Msg("status page failed")
	}
}
