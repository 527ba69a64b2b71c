// Command madderhollow is one assigner. It receives load and traffic reports from collectors, the endpoint list from
// discovery and proxies' events from the relay, passes them to its decision module (package assign), and sends the relay
// the resulting orders: routing tables, weights and rate limits.
//
// The environment variable EDGE_CONFIG names its configuration file; docs/configuration.md describes it. SIGHUP reloads the
// file, SIGTERM or SIGINT ends the process with status 0.
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
	exitFailure       = 1 // the listener could not be bound, or a part could not be created
	exitConfiguration = 2 // invalid arguments or configuration; the Go runtime also uses it after a panic
)

const (
	// heapFraction is the part of the memory limit that the Go runtime may use. The rest is for socket buffers and for
	// the time that the garbage collector takes to react.
	heapFraction = 0.6
	bytesPerMB   = 1 << 20
	// shutdownTimeout bounds the time from SIGTERM to the exit. SIGKILL may follow SIGTERM by 0.7 s.
	shutdownTimeout = 650 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1:], os.Getenv, config.DefaultRetryPolicy()))
}

// run is main with its inputs as parameters. It returns once the program has ended. The retry policy applies to a
// configuration file that cannot be used yet.
func run(args []string, env func(string) string, retry config.RetryPolicy) (exitCode int) {
	// Signals are handled from here to the exit. Before, they would kill the process; so would a second one after a call of
	// signal.Stop.
	reload, terminated := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(terminated, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { // ends with the process
		<-terminated
		cancel()
	}()
	// A part that blocks, for instance on a log that is not read, must not delay the exit. A forced exit has status 0, too,
	// and logs nothing.
	context.AfterFunc(ctx, func() { time.AfterFunc(shutdownTimeout, func() { os.Exit(exitOK) }) })

	flags := flag.NewFlagSet("madderhollow", flag.ContinueOnError)
	statusAddress := flags.String("status", "", "address of the status page; none if empty")
	switch err := flags.Parse(args); { // Parse prints its errors
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

// fail prints an error and returns the exit code.
func fail(err error, exitCode int) int {
	fmt.Fprintln(os.Stderr, "madderhollow:", err)
	return exitCode
}

// limitRuntime applies the configured CPU and memory limits to the Go runtime. Cores that are not stated count as one.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.CPUCores))))
	debug.SetMemoryLimit(int64(heapFraction * float64(cfg.MemoryLimitMB) * bytesPerMB))
}
