// Command madderhollow is one assigner on sockets.
package main

import (
	"context"
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

	"madderhollow/assign"
	"madderhollow/internal/config"
	"madderhollow/internal/discovery"
	"madderhollow/internal/exchange"
	"madderhollow/internal/host"
	"madderhollow/internal/intake"
	"madderhollow/internal/peer"
	"madderhollow/internal/relay"
	"madderhollow/internal/wire"
)

// heapPart of the memory limit is the runtime's; the rest is for stacks, sockets and the collector's lag.
const heapPart = 0.6

// logBurst lines a second are written; beyond, trouble that repeats itself would fill the operators' disk.
const logBurst = 50

func main() {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "madderhollow:", err)
		os.Exit(2)
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(cfg.MemoryMB) * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serve(ctx, cfg, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "madderhollow:", err)
		os.Exit(1)
	}
}

// serve wires the parts and runs them until the context ends.
func serve(ctx context.Context, cfg *config.Config, logs io.Writer) error {
	log := zerolog.New(logs).With().Timestamp().Str("assigner", cfg.Name).Logger().
		Sample(&zerolog.BurstSampler{Burst: logBurst, Period: time.Second})
	began := time.Now()
	codec := wire.NewCodec(cfg.Settings, began.Add(-time.Duration(host.Start*float64(time.Second))))
	known, err := codec.Listed(cfg.Known)
	if err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	chance := rand.New(rand.NewSource(cfg.Seed))
	x := exchange.New(codec, log)
	watch := discovery.New(cfg.Discovery, codec, x.Post, chance.Int63(), log)
	calls := relay.NewCaller(cfg.Relay, x, chance.Int63(), log)
	news := relay.NewReader(cfg.Relay, codec, x.Post, chance.Int63(), log)
	server := intake.New(codec, x.Post, cfg.Sockets, log)
	ports := host.Ports{Follow: watch.Follow, Fetch: watch.Fetch, Tell: func(int, []byte) {}}
	parts := []func(context.Context){watch.Run, calls.Run, news.Run}
	if cfg.MayTell() {
		peers, err := peer.Open(cfg.PeerListen, cfg.PeersAll, cfg.Peers, x.Post, log)
		if err != nil {
			l.Close()
			return err
		}
		ports.Tell = peers.Tell
		parts = append(parts, peers.Run)
	}
	h := host.New(cfg.Seed, cfg.Settings, x, ports, began, log)
	ready := make(chan struct{})
	parts = append(parts,
		func(ctx context.Context) { h.Run(ctx, []assign.Event{known}, func() { close(ready) }) },
		func(ctx context.Context) { <-ready; server.Serve(ctx, l) })
	log.Info().Int("tasks", len(known.Entries)).Int("version", known.Version).Msg("started")
	var wg sync.WaitGroup
	for _, run := range parts {
		wg.Add(1)
		go func() { defer wg.Done(); run(ctx) }()
	}
	wg.Wait()
	log.Info().Msg("ended")
	return nil
}
