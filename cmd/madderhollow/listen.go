package main

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/backoff"
)

// The former process may still hold an address while it dies. Whoever starts an assigner gives it 30 s to be ready.
const (
	listenTimeout       = 25 * time.Second
	minListenRetryDelay = 10 * time.Millisecond
	maxListenRetryDelay = 200 * time.Millisecond
)

// listen opens an address, for some time also one that is still taken. The seed is for the delays between attempts.
func listen(ctx context.Context, address string, seed int64, log zerolog.Logger) (net.Listener, error) {
	delays := backoff.New(minListenRetryDelay, maxListenRetryDelay, seed)
	for began, told := time.Now(), false; ; told = true {
		listener, err := net.Listen("tcp", address)
		if err == nil || time.Since(began) > listenTimeout || ctx.Err() != nil {
			return listener, err
		}
		if !told {
			log.Warn().Err(err).Msg("not to be had yet")
		}
		delays.Wait(ctx)
	}
}
