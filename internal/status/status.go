// Package status serves the status page: counters at /healthz and profiles at /debug/pprof/.
//
// Serve handles each connection in a separate goroutine. Before it returns, it closes all connections, but it does
// not wait for the request handlers. The handlers end soon after, because the context of a request is canceled when
// its connection closes.
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
	// connTimeout is the maximum time for reading a request, and the maximum time that a connection may be idle. It
	// prevents a client that hangs from holding a file descriptor.
	connTimeout = 5 * time.Second
	// maxHeaderBytes is the maximum size of a request's header, in bytes.
	maxHeaderBytes = 4096
)

// Serve serves the status page on a listener until the context is canceled, and then closes the listener. At each
// request for /healthz it calls counters and sends the returned value as JSON. The function counters must be safe
// for concurrent use. Serve returns an error if the listener fails, and nil after the context was canceled.
func Serve(ctx context.Context, listener net.Listener, counters func() any) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(counters()) // Encode fails if the client has disconnected
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	server := &http.Server{
		Handler:        mux,
		ReadTimeout:    connTimeout,
		IdleTimeout:    connTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	// The error of Close is ignored, because Close fails only if the listener has been closed before.
	stopAfterFunc := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopAfterFunc()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve HTTP: %w", err)
	}
	return nil
}
