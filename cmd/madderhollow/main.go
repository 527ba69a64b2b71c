// Command madderhollow runs one assigner. The assigner receives load and traffic reports from collectors, the endpoint
// list from discovery, and events about proxies from the relay. It passes this input to its decision module, package
// assign, and sends the resulting orders to the relay. The orders set routing tables, weights and rate limits.
//
// The environment variable EDGE_CONFIG holds the path of the configuration file, which docs/configuration.md
// describes. SIGHUP makes the process read the configuration file again. SIGTERM or SIGINT ends the process with exit
// status 0.
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

// Exit codes of the process.
const (
	exitOK            = 0
	exitFailure       = 1 // exit code if the listener could not be bound or a component could not be created
	exitConfiguration = 2 // exit code for invalid arguments or configuration; the Go runtime also uses 2 after a panic
)

const (
	// runtimeMemoryFraction is the fraction of the configured memory limit that the Go runtime may use. The rest is
	// reserved for socket buffers, and for memory that is allocated before the garbage collector reacts.
	runtimeMemoryFraction = 0.6
	// bytesPerMB is the number of bytes in a mebibyte (MiB).
	bytesPerMB = 1 << 20
	// shutdownTimeout is the time from SIGTERM or SIGINT to a forced exit. It is shorter than 0.7 s, the earliest time
	// after SIGTERM at which SIGKILL may follow.
	shutdownTimeout = 650 * time.Millisecond
)

func main() {
	os.Exit(run(os.Args[1:], os.Getenv, config.DefaultRetryPolicy()))
}

// run is the main function with its inputs as parameters: the command-line arguments, the lookup of environment
// variables and the retry policy for a configuration file that is missing or invalid. It returns the exit code once
// all components have returned.
func run(args []string, env func(string) string, retry config.RetryPolicy) (exitCode int) {
	// Signals are handled from here until the process exits. A signal that arrives earlier kills the process. There is
	// no call of signal.Stop, because a second signal after signal.Stop would kill the process during its shutdown.
	reloadSignals, terminationSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	signal.Notify(terminationSignals, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { // the goroutine runs until the first termination signal or the exit of the process
		<-terminationSignals
		cancel()
	}()
	// A component that blocks, for instance because no process reads its log, must not delay the exit. The forced exit
	// has status 0 as well, and it does not log anything.
	context.AfterFunc(ctx, func() { time.AfterFunc(shutdownTimeout, func() { os.Exit(exitOK) }) })

	flags := flag.NewFlagSet("madderhollow", flag.ContinueOnError)
	statusAddress := flags.String("status", "", "address of the status page, host:port; there is no status page if it is empty")
	switch err := flags.Parse(args); { // flags.Parse has already printed the error
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
		return reportError(err, exitConfiguration)
	}
	limitRuntime(cfg)
	if err := runAssigner(ctx, cfg, reloadSignals, *statusAddress, os.Stderr); err != nil {
		return reportError(err, exitFailure)
	}
	return exitOK
}

// reportError prints an error to standard error and returns the given exit code.
func reportError(err error, exitCode int) int {
	fmt.Fprintln(os.Stderr, "madderhollow:", err)
	return exitCode
}

// limitRuntime applies the configured CPU and memory limits to the Go runtime. The number of cores is rounded up. If
// the configuration does not set it, the limit is one core.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.CPUCores))))
	debug.SetMemoryLimit(int64(runtimeMemoryFraction * float64(cfg.MemoryLimitMB) * bytesPerMB))
}
