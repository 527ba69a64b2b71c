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

// The previous process may hold an address until its shutdown is complete. A new process has 30 s to become ready.
const (
	listenTimeout       = 25 * time.Second
	minListenRetryDelay = 10 * time.Millisecond
	maxListenRetryDelay = 200 * time.Millisecond
)

// listen binds a TCP address. It retries while that fails, until listenTimeout has passed or the context ends, and returns
// the last error then. The seed randomizes the delays between attempts.
func listen(ctx context.Context, address string, seed int64, log zerolog.Logger) (net.Listener, error) {
	condition := conditionlog.New(conditionlog.Config{
		Log:       log.With().Str("component", "listener").Str("address", address).Logger(),
		Failing:   "listen failed; retrying",
		Recovered: "listening",
	})
	delays := backoff.New(minListenRetryDelay, maxListenRetryDelay, seed)
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
		delays.Wait(ctx)
	}
}
