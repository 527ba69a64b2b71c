// Command madderhollow is one assigner on sockets: it takes reports from collectors, the endpoint list from discovery and
// events from the relay, and sends the relay the orders that its decision module makes of them.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"madderhollow/internal/config"
)

// Exit codes.
const (
	exitOK            = 0
	exitFailure       = 1 // the program could not do its work
	exitConfiguration = 2 // arguments or configuration cannot be used; Go's runtime exits with it after a panic, too
)

const (
	// heapFraction of the memory limit is the runtime's; the rest is for stacks, sockets and the collector's lag.
	heapFraction    = 0.6
	bytesPerMB      = 1 << 20
	shutdownTimeout = 650 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1:], os.Getenv, config.DefaultRetry()))
}

// run is the program. Retry is for a configuration file that cannot be used at once.
func run(args []string, env func(string) string, retry config.Retry) (exitCode int) {
	reload := make(chan os.Signal, 1) // first of all: without them the signals kill the process
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// SIGKILL may follow SIGTERM by 0.7 s. Whoever reads the log may have stopped, and nobody waits for an end that was
	// ordered.
	context.AfterFunc(ctx, func() { time.AfterFunc(shutdownTimeout, func() { os.Exit(exitOK) }) })

	flags := flag.NewFlagSet("madderhollow", flag.ContinueOnError)
	statusAddress := flags.String("status", "", "address of the operators' page; none if empty")
	switch err := flags.Parse(args); { // which tells of errors itself
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitConfiguration
	}
	cfg, err := config.LoadWithRetry(ctx, env, retry)
	if ctx.Err() != nil {
		return exitOK
	}
	if err == nil && *statusAddress != "" {
		_, err = net.ResolveTCPAddr("tcp", *statusAddress)
	}
	if err != nil {
		return fail(err, exitConfiguration)
	}
	limitRuntime(cfg)
	if err := serve(ctx, cfg, reload, *statusAddress, os.Stderr); err != nil {
		return fail(err, exitFailure)
	}
	return exitOK
}

func fail(err error, exitCode int) int {
	fmt.Fprintln(os.Stderr, "madderhollow:", err)
	return exitCode
}

// limitRuntime keeps the Go runtime within the configured limits.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(heapFraction * float64(cfg.MemoryMB) * bytesPerMB))
}
