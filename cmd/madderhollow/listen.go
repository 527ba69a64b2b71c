package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/backoff"
	"madderhollow/internal/conditionlog"
)

const (
	// listenTimeout is the time after the first attempt at which listen stops retrying. The previous process of the
	// assigner may occupy the address until it has shut down, and the new process has 30 s to become ready.
	listenTimeout = 25 * time.Second
	// minListenRetryDelay and maxListenRetryDelay are the bounds of the delay between two attempts to bind an address,
	// before jitter.
	minListenRetryDelay = 10 * time.Millisecond
	maxListenRetryDelay = 200 * time.Millisecond
)

// listen binds a TCP address and returns the listener. It retries failed attempts until listenTimeout has passed or
// the context has ended, and then returns the error of the last attempt. The seed determines the jitter of the delays
// between the attempts.
func listen(ctx context.Context, address string, seed int64, log zerolog.Logger) (net.Listener, error) {
	condition := conditionlog.New(conditionlog.Config{
		Log:       log.With().Str("component", "listener").Str("address", address).Logger(),
		Failing:   "listen failed; retrying",
		Recovered: "listening",
	})
	retryDelays := backoff.New(minListenRetryDelay, maxListenRetryDelay, seed)
	deadline := time.Now().Add(listenTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			condition.RecordSuccess()
			return listener, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return nil, fmt.Errorf("listener: %w", err)
		}
		condition.RecordFailure(err, nil)
		retryDelays.Wait(ctx)
	}
}
