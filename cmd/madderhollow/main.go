// Command madderhollow is one assigner on sockets.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"madderhollow/assign"
	"madderhollow/internal/backoff"
	"madderhollow/internal/config"
	"madderhollow/internal/discovery"
	"madderhollow/internal/eventloop"
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/intake"
	"madderhollow/internal/moving"
	"madderhollow/internal/orderqueue"
	"madderhollow/internal/peer"
	"madderhollow/internal/relay"
	"madderhollow/internal/reload"
	"madderhollow/internal/status"
	"madderhollow/internal/wire"
)

// heapPart of the memory limit is the runtime's; the rest is for stacks, sockets and the collector's lag.
const heapPart = 0.6

// logBurst lines a second are written, beyond which trouble that repeats itself would fill the operators'
// disk, and logMost wait for whoever reads them; the rest is lost, since no decision may wait for a log.
const (
	logBurst = 50
	logMost  = 1000
)

// The former process may still hold the addresses while it dies. Who starts an assigner gives it 30 s to be ready.
const (
	openWithin            = 25 * time.Second
	openFirst, openAtMost = 10 * time.Millisecond, 200 * time.Millisecond
)

// endWithin bounds what is left to do after SIGTERM, since SIGKILL may follow 0.7 s later: whoever reads the log may have
// stopped, and nobody waits for an end that was ordered.
const endWithin = 650 * time.Millisecond

func main() {
	hup := make(chan os.Signal, 1) // first of all: without them the signals kill the process
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() { time.AfterFunc(endWithin, func() { os.Exit(0) }) })
	flags := flag.NewFlagSet("madderhollow", flag.ExitOnError)
	page := flags.String("status", "", "address of the operators' page; none if empty")
	flags.Parse(os.Args[1:])
	cfg, err := config.Await(ctx, os.Getenv)
	if ctx.Err() != nil {
		return
	}
	if err == nil && *page != "" {
		_, err = net.ResolveTCPAddr("tcp", *page)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "madderhollow:", err)
		os.Exit(2)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(cfg.MemoryMB) * (1 << 20)))
	if err := serve(ctx, cfg, hup, *page, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "madderhollow:", err)
		os.Exit(1)
	}
}

// serve wires the parts and runs them until the context ends.
func serve(ctx context.Context, cfg *config.Config, hup <-chan os.Signal, page string, logs io.Writer) (err error) {
	began := time.Now()
	codec := wire.NewCodec(cfg.Settings, began.Add(-time.Duration(eventloop.ClockStart*float64(time.Second))))
	known, err := codec.Listed(cfg.Known)
	if err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	lines := diode.NewWriter(struct{ io.Writer }{logs}, logMost, 0, func(int) {}) // its end must not close them
	defer lines.Close()
	log := zerolog.New(lines).With().Timestamp().Str("assigner", cfg.Name).Logger().
		Sample(&zerolog.BurstSampler{Burst: logBurst, Period: time.Second})
	chance := rand.New(rand.NewSource(cfg.Seed))
	l, err := listen(ctx, cfg.Listen, chance.Int63(), log)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer l.Close()
	events := eventqueue.New()
	orders := orderqueue.New(cfg.Settings.Channel, codec, log)
	agentAt, relayAt := moving.At(cfg.Discovery), moving.At(cfg.Relay)
	watch := discovery.New(agentAt, known.Version, codec, events.Post, cfg.MemoryMB, chance.Int63(), log)
	calls := relay.NewCaller(relayAt, orders, chance.Int63(), log)
	news := relay.NewReader(relayAt, codec, events.Post, chance.Int63(), log)
	server := intake.New(codec, events.Report, cfg.Sockets, cfg.MemoryMB, log)
	inputs := eventloop.Inputs{Events: events.Events(), Reports: events.Reports(), Observe: orders.Observe}
	outputs := eventloop.Outputs{Submit: orders.Submit, WatchEndpoints: watch.Follow, FetchEndpoints: watch.Fetch, SendPeerMessage: func(int, []byte) {}}
	decided, end := context.WithCancel(context.WithoutCancel(ctx)) // when the module gives no more orders
	defer end()
	parts := []func(context.Context){watch.Run, news.Run, func(context.Context) { calls.Run(decided) },
		func(ctx context.Context) { reload.Run(ctx, hup, cfg.Path, agentAt, relayAt, log) }}
	if cfg.MayTell() {
		peers, err := peer.Open(cfg.PeerListen, cfg.PeersAll, cfg.Peers, events.Post, log)
		if err != nil {
			return err
		}
		outputs.SendPeerMessage = peers.Tell
		parts = append(parts, peers.Run)
	}
	loop := eventloop.New(cfg.Seed, cfg.Settings, inputs, outputs, began, log)
	if page != "" {
		seed := chance.Int63()
		parts = append(parts, func(ctx context.Context) {
			p, err := listen(ctx, page, seed, log)
			if err == nil {
				err = status.Serve(ctx, p, func() map[string]any { return counters(loop.Stats(), orders.Stats(), server.Look(), events.Dropped()) })
			}
			if err != nil && ctx.Err() == nil {
				log.Error().Err(err).Msg("status page ended")
			}
		})
	}
	ready := make(chan struct{})
	parts = append(parts,
		func(ctx context.Context) { defer end(); loop.Run(ctx, []assign.Event{known}, func() { close(ready) }) },
		func(ctx context.Context) { <-ready; server.Serve(ctx, l) })
	log.Info().Int("tasks", len(known.Endpoints)).Int("version", known.Version).Msg("started")
	var wg sync.WaitGroup
	for _, run := range parts {
		wg.Add(1)
		go func() { defer wg.Done(); run(ctx) }()
	}
	wg.Wait()
	log.Info().Fields(counters(loop.Stats(), orders.Stats(), server.Look(), events.Dropped())).Msg("ended")
	return nil
}

// listen opens an address, for some time also one that is still taken.
func listen(ctx context.Context, address string, seed int64, log zerolog.Logger) (net.Listener, error) {
	pauses := backoff.Pauses{First: openFirst, Most: openAtMost, Rng: rand.New(rand.NewSource(seed))}
	for began, told := time.Now(), false; ; told = true {
		l, err := net.Listen("tcp", address)
		if err == nil || time.Since(began) > openWithin || ctx.Err() != nil {
			return l, err
		}
		if !told {
			log.Warn().Err(err).Msg("not to be had yet")
		}
		pauses.Wait(ctx)
	}
}

func counters(l eventloop.Stats, c orderqueue.Stats, in intake.Counts, reportsLost int) map[string]any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return map[string]any{"turns": l.Batches, "events": l.Events, "proxies": c.Proxies, "calls": c.Calls, "calls_again": c.Repeated,
		"orders_folded": c.Coalesced, "reports_lost": reportsLost, "orders_waiting": c.Waiting, "waited_most_ms": c.LongestWait.Milliseconds(),
		"reports": in.Reports, "lines_spoilt": in.Spoilt, "strangers": in.Strangers,
		"goroutines": runtime.NumGoroutine(), "heap_kb": m.HeapAlloc >> 10}
}
