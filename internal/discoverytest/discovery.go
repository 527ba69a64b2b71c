// Package discoverytest is a fake of discovery's agent by the protocol's pages, in the manner of httptest, for tests and
// the demo.
package discoverytest

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"madderhollow/internal/testserver"
)

// The states of an endpoint, as discovery writes them.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// Endpoint is an entry of the list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"` // Unix time of the start, ms
}

// List is an answer of discovery.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Agent is the fake. Its methods may be used by several goroutines.
type Agent struct {
	*testserver.Server

	mu        sync.Mutex
	intercept func(http.ResponseWriter, *http.Request) bool
	index     int64
	list      []Endpoint
	changedIn map[string]int64 // the version of the last change, by name
	changed   chan struct{}    // closed at each change
	askedAt   string
}

// New starts an agent at an address, or at a free port if that is empty, whose list has a version.
func New(address string, index int64, list ...Endpoint) (*Agent, error) {
	a := &Agent{index: index, list: list, changedIn: map[string]int64{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.answer)
	var err error
	a.Server, err = testserver.New(address, mux)
	return a, err
}

// Intercept lets f answer requests; one for which it returns false is answered as usual.
func (a *Agent) Intercept(f func(http.ResponseWriter, *http.Request) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.intercept = f
}

// AskedAt returns the address at which it was asked last.
func (a *Agent) AskedAt() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.askedAt
}

// List returns what it would answer now to a request for the full list.
func (a *Agent) List() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return List{a.index, true, slices.Clone(a.list)}
}

// Change sets entries. One that has left is told as such and then missing from the full list.
func (a *Agent) Change(entries ...Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	for _, entry := range entries {
		a.list = slices.DeleteFunc(a.list, func(other Endpoint) bool { return other.Name == entry.Name })
		a.list = append(a.list, entry)
		a.changedIn[entry.Name] = a.index
	}
	a.wake()
}

// Restart starts the versions over.
func (a *Agent) Restart(index int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	a.changedIn = map[string]int64{}
	a.wake()
}

// wake ends the watches under way.
func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) answer(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	intercept := a.intercept
	a.askedAt = r.Host
	a.mu.Unlock()
	if intercept != nil && intercept(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.listFor(r)) // the client may have gone
}

// listFor is the list that a request asks for.
func (a *Agent) listFor(request *http.Request) List {
	full := a.List()
	after, err := strconv.ParseInt(request.FormValue("after"), 10, 64)
	if err != nil || after > full.Index {
		full.Endpoints = slices.DeleteFunc(full.Endpoints, func(e Endpoint) bool { return e.Status == Left })
		return full
	}
	wait, err := strconv.Atoi(request.FormValue("wait_ms"))
	if err != nil {
		wait = 0
	}
	a.waitForChange(after, time.Duration(wait)*time.Millisecond, request.Context().Done())
	return a.changesSince(after)
}

// waitForChange waits for something newer than a version.
func (a *Agent) waitForChange(after int64, timeout time.Duration, clientGone <-chan struct{}) {
	a.mu.Lock()
	changed, index := a.changed, a.index
	a.mu.Unlock()
	if index != after {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-clientGone:
	}
}

func (a *Agent) changesSince(after int64) List {
	a.mu.Lock()
	defer a.mu.Unlock()
	changes := List{Index: a.index}
	for _, entry := range a.list {
		if a.changedIn[entry.Name] > after {
			changes.Endpoints = append(changes.Endpoints, entry)
		}
	}
	return changes
}
