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
	// maxLogRate lines a second are written; beyond that, trouble that repeats itself would fill the operators' disk.
	maxLogRate = 50
	// maxLogBuffered lines wait for whoever reads them. The rest is lost, since no decision may wait for a log.
	maxLogBuffered = 1000
)

// assigner is the program's parts. Each owns its connections and goroutines.
type assigner struct {
	config        *config.Config
	log           zerolog.Logger
	random        *rand.Rand // seeds for the parts, in the order in which they are made
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
	peers         *peer.Socket // nil: there are none
	loop          *eventloop.Loop
	statusAddress string
}

// serve runs an assigner until the context ends. At each signal of reload it reads its configuration again.
func serve(ctx context.Context, cfg *config.Config, reload <-chan os.Signal, statusAddress string, logs io.Writer) error {
	startedAt := time.Now()
	clockZero := startedAt.Add(-time.Duration(eventloop.ClockStart * float64(time.Second)))
	codec := wire.NewCodec(cfg.Settings, clockZero)
	known, err := codec.EndpointUpdate(cfg.Known)
	if err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	logWriter := diode.NewWriter(struct{ io.Writer }{logs}, maxLogBuffered, 0, func(int) {}) // its end must not close logs
	defer func() { _ = logWriter.Close() }()                                                 // it has nowhere to tell of an error
	program := &assigner{config: cfg, startedAt: startedAt, codec: codec, statusAddress: statusAddress,
		log: newLogger(logWriter, cfg.Name), random: rand.New(rand.NewSource(cfg.Seed))}
	listener, err := listen(ctx, cfg.Listen, program.random.Int63(), program.log)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }() // the report server has closed it, mostly
	if err := program.makeParts(known.Version); err != nil {
		return err
	}
	program.log.Info().Int("endpoints", len(known.Endpoints)).Int("version", known.Version).Msg("started")
	program.run(ctx, known, listener, reload)
	program.log.Info().EmbedObject(program.counters()).Msg("ended")
	return nil
}

func newLogger(w io.Writer, name string) zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Str("assigner", name).Logger().
		Sample(&zerolog.BurstSampler{Burst: maxLogRate, Period: time.Second})
}

// makeParts makes all parts but the operators' page. Known is the version of the list that the module starts with.
func (a *assigner) makeParts(known int) error {
	cfg, log := a.config, a.log
	a.discoveryAt = handover.NewAddress(cfg.Discovery)
	a.relayAt = handover.NewAddress(cfg.Relay)
	a.events = eventqueue.New()
	a.orders = orderqueue.New(cfg.Settings.Channel, a.codec, log)
	var err error
	a.watcher, err = discovery.New(discovery.Config{Address: a.discoveryAt, KnownVersion: known, Codec: a.codec,
		Sink: a.events.Post, MemoryMB: cfg.MemoryMB, Seed: a.random.Int63(), Log: log})
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	a.client = relay.NewOrderClient(relay.OrderClientConfig{Address: a.relayAt, Queue: a.orders, Seed: a.random.Int63(), Log: log})
	a.reader = relay.NewEventReader(relay.EventReaderConfig{Address: a.relayAt, Codec: a.codec, Sink: a.events.Post,
		Seed: a.random.Int63(), Log: log})
	a.server = reportserver.New(a.codec, a.events.Report, cfg.Descriptors, cfg.MemoryMB, log)
	if cfg.MessagesPeers() {
		if a.peers, err = peer.Open(cfg.PeerListen, cfg.PeersAll, cfg.Peers, a.events.Post, log); err != nil {
			return err
		}
	}
	inputs := eventloop.Inputs{Events: a.events.Events(), Reports: a.events.Reports(), Observe: a.orders.Observe}
	outputs := eventloop.Outputs{Submit: a.orders.Submit, WatchEndpoints: a.watcher.Watch, FetchEndpoints: a.watcher.Fetch,
		SendPeerMessage: a.sendPeerMessage}
	a.loop = eventloop.New(eventloop.Config{Seed: cfg.Seed, Settings: cfg.Settings, Inputs: inputs, Outputs: outputs,
		StartedAt: a.startedAt, Log: log})
	return nil
}

func (a *assigner) sendPeerMessage(to int, data []byte) {
	if a.peers != nil {
		a.peers.Send(to, data)
	}
}

// run runs the parts until the context ends. The order client ends after the event loop, which gives no more orders then;
// the report server begins once the first batch is done, since it answers pings from its first connection on.
func (a *assigner) run(ctx context.Context, known assign.EndpointUpdate, listener net.Listener, reload <-chan os.Signal) {
	loopEnded, endLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer endLoop()
	ready := make(chan struct{})
	var parts supervisor
	parts.add("discovery", a.watcher.Run)
	parts.add("relay events", a.reader.Run)
	parts.add("relay calls", func(context.Context) { a.client.Run(loopEnded) })
	parts.add("reload", func(ctx context.Context) {
		reloader := configreload.New(configreload.Config{Path: a.config.Path, Discovery: a.discoveryAt, Relay: a.relayAt, Log: a.log})
		reloader.Run(ctx, reload)
	})
	if a.peers != nil {
		parts.add("peers", a.peers.Run)
	}
	if a.statusAddress != "" {
		seed := a.random.Int63()
		parts.add("status page", func(ctx context.Context) { a.serveStatus(ctx, seed) })
	}
	parts.add("event loop", func(ctx context.Context) {
		defer endLoop()
		a.loop.Run(ctx, []assign.Event{known}, func() { close(ready) })
	})
	parts.add("report server", func(ctx context.Context) {
		<-ready
		a.server.Serve(ctx, listener)
	})
	parts.run(ctx)
}

// serveStatus runs the operators' page. All else goes on without it.
func (a *assigner) serveStatus(ctx context.Context, seed int64) {
	listener, err := listen(ctx, a.statusAddress, seed, a.log)
	if err == nil {
		err = status.Serve(ctx, listener, func() any { return a.counters() })
	}
	if err != nil && ctx.Err() == nil {
		a.log.Error().Err(err).Msg("status page ended")
	}
}
