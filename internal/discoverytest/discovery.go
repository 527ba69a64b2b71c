// Package discoverytest provides a fake discovery agent for tests and the demo, as net/http/httptest does for HTTP. It answers
// requests for the full endpoint list, and long polls for changes since a version.
package discoverytest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"madderhollow/internal/testserver"
)

// The protocol's names in a request.
const (
	listPath       = "/v1/servers"
	afterParameter = "after"   // version after which changes are requested; absent: the full list
	waitParameter  = "wait_ms" // longest wait for a change, ms
)

// States of an endpoint.
const (
	Ready    = "active"
	Draining = "leaving"
	Removed  = "left"
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Group       int     `json:"group"`    // of machines
	State       string  `json:"status"`   // Ready, Draining or Removed
	Weight      float64 `json:"weight"`   // capacity relative to other endpoints
	StartedAt   int64   `json:"since_ms"` // Unix time, ms
}

// List is an answer of discovery: the full list, or the changes since a version.
type List struct {
	Version   int64      `json:"index"`
	Full      bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Agent is a fake discovery agent. Several goroutines may call its methods.
type Agent struct {
	*testserver.Server

	mu        sync.Mutex
	intercept func(http.ResponseWriter, *http.Request) bool
	version   int64
	list      []Endpoint
	changedIn map[string]int64 // version of the last change, by endpoint
	changed   chan struct{}    // closed and replaced at each change
	lastHost  string
}

// New starts an agent at an address; an empty address stands for a free port on the loopback address. The caller closes the
// agent.
func New(address string, version int64, list ...Endpoint) (*Agent, error) {
	a := &Agent{version: version, list: list, changedIn: map[string]int64{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, a.serveList)
	server, err := testserver.New(address, mux)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	a.Server = server
	return a, nil
}

// Intercept makes f handle each request first. The agent answers the requests for which f returns false.
func (a *Agent) Intercept(f func(http.ResponseWriter, *http.Request) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.intercept = f
}

// LastHost returns the host and port to which the last request was sent.
func (a *Agent) LastHost() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastHost
}

// List returns the full list, including removed endpoints.
func (a *Agent) List() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return List{a.version, true, slices.Clone(a.list)}
}

// Change adds or replaces entries under a new version. A removed entry appears in changes, but not in answers with the
// full list.
func (a *Agent) Change(entries ...Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, entry := range entries {
		a.list = slices.DeleteFunc(a.list, func(other Endpoint) bool { return other.Name == entry.Name })
		a.list = append(a.list, entry)
		a.changedIn[entry.Name] = a.version
	}
	a.wake()
}

// Restart sets the version, as a restarted agent does that counts from the beginning.
func (a *Agent) Restart(version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = version
	a.changedIn = map[string]int64{}
	a.wake()
}

// wake ends the pending long polls. The caller holds the lock.
func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// serveList answers a request for the list or its changes.
func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	intercept := a.intercept
	a.lastHost = r.Host
	a.mu.Unlock()
	if intercept != nil && intercept(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.listFor(r)) // fails if the client has disconnected
}

// listFor returns the answer to a request. It blocks while a long poll waits for a change.
func (a *Agent) listFor(request *http.Request) List {
	full := a.List()
	after, err := strconv.ParseInt(request.FormValue(afterParameter), 10, 64)
	if err != nil || after > full.Version {
		full.Endpoints = slices.DeleteFunc(full.Endpoints, func(e Endpoint) bool { return e.State == Removed })
		return full
	}
	wait, err := strconv.Atoi(request.FormValue(waitParameter))
	if err != nil {
		wait = 0
	}
	a.waitForChange(after, time.Duration(wait)*time.Millisecond, request.Context().Done())
	return a.changesSince(after)
}

// waitForChange waits until the list is newer than a version, the timeout has passed, or the client has disconnected.
func (a *Agent) waitForChange(after int64, timeout time.Duration, disconnected <-chan struct{}) {
	a.mu.Lock()
	changed, version := a.changed, a.version
	a.mu.Unlock()
	if version != after {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-disconnected:
	}
}

// changesSince returns the entries that changed after a version.
func (a *Agent) changesSince(after int64) List {
	a.mu.Lock()
	defer a.mu.Unlock()
	changes := List{Version: a.version}
	for _, entry := range a.list {
		if a.changedIn[entry.Name] > after {
			changes.Endpoints = append(changes.Endpoints, entry)
		}
	}
	return changes
}
