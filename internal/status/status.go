// Package status is the operators' page: health, counters and profiles, on net/http's server, where one asks for it.
package status

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"
)

const (
	// timeout bounds every step of a request: an operator's tool that hangs must hold nothing for long.
	timeout = 5 * time.Second
	// maxHeaderSize bounds a request's head, in bytes.
	maxHeaderSize = 4096
)

// Serve answers at a listener until the context ends, and closes it. Counters gives what /healthz shows, as JSON.
func Serve(ctx context.Context, listener net.Listener, counters func() any) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(counters()) // whoever asked has gone
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	server := &http.Server{Handler: mux, ReadTimeout: timeout, IdleTimeout: timeout, MaxHeaderBytes: maxHeaderSize}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // its error is of listeners that were closed before
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
