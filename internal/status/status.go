// Package status serves the status page: counters at /healthz and profiles at /debug/pprof/.
//
// Serve handles each connection in a goroutine of its own. When it returns, it has closed all connections, but it does not wait
// for their handlers. These end soon after, because the context of a request ends with its connection.
package status

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"
)

const (
	// timeout bounds the time for reading a request and the time that a connection may be idle, so that a client that hangs
	// does not keep a descriptor.
	timeout = 5 * time.Second
	// maxHeaderSize bounds the header of a request, in bytes.
	maxHeaderSize = 4096
)

// Serve answers requests on a listener until the context ends, and closes the listener. The function counters returns the
// value that /healthz shows as JSON; several goroutines may call it at once. Serve returns an error if the listener fails.
func Serve(ctx context.Context, listener net.Listener, counters func() any) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(counters()) // fails if the client has disconnected
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	server := &http.Server{
		Handler:        mux,
		ReadTimeout:    timeout,
		IdleTimeout:    timeout,
		MaxHeaderBytes: maxHeaderSize,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // fails only if the listener is closed already
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve HTTP: %w", err)
	}
	return nil
}
