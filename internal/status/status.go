// Package status is the operators' page: health and counters, on net/http's server, where one asks for it.
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

// within bounds every step of a call: an operator's tool that hangs must hold nothing for long.
const within = 5 * time.Second

// Serve answers at a listener until the context ends. Counters gives what /healthz shows.
func Serve(ctx context.Context, l net.Listener, counters func() map[string]any) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(counters())
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	s := &http.Server{Handler: mux, ReadTimeout: within, IdleTimeout: within, MaxHeaderBytes: 4096}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
