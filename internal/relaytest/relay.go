// Package relaytest is a fake of the relay and its proxies by the protocol's pages, in the manner of httptest, for tests
// and the demo. It carries no load and measures nothing.
package relaytest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"madderhollow/internal/testserver"
)

// Fault is what happens to a call.
type Fault int

// The faults.
const (
	NoFault       Fault = iota
	ResetBefore         // reset, nothing carried out
	ResetAfter          // carried out, then reset
	SilentBefore        // nothing carried out, no answer
	SilentAfter         // carried out, no answer
	GarbledAnswer       // carried out, an answer that cannot be read
	HalfTaken           // half carried out, as if the next order could not be used yet
	BusyAnswer
	SyntaxAnswer
)

// carriesOut tells whether the orders, or half of them, are carried out.
func (f Fault) carriesOut() bool {
	switch f {
	case NoFault, ResetAfter, SilentAfter, GarbledAnswer, HalfTaken:
		return true
	}
	return false
}

// Proxy is a connected proxy, as far as the relay knows it.
type Proxy struct {
	Zone     string
	Rate     float64
	Tables   map[string]int // by request class
	Messages []time.Time    // when calls reached it, since it connected
	Fresh    bool           // it held no assigned table when it connected
}

// State is what calls have brought about.
type State struct {
	Proxies map[int]*Proxy
	Tables  map[int]map[string]float64 // weights by table and endpoint
	Limits  map[string]string          // by table and class, with a comma between
	Ejected map[string]bool
	Calls   [][]string
}

// Relay is the fake. Its methods may be used by several goroutines.
type Relay struct {
	*testserver.Server

	mu      sync.Mutex
	state   State
	classes []string
	fault   func(orders []string) Fault
	events  broadcaster
	stopped chan struct{}
}

// New starts a relay at an address, or at a free port if that is empty, for proxies with these request classes.
func New(address string, classes ...string) (*Relay, error) {
	r := &Relay{classes: classes, events: newBroadcaster(), stopped: make(chan struct{}),
		state: State{Proxies: map[int]*Proxy{}, Tables: map[int]map[string]float64{}, Limits: map[string]string{}, Ejected: map[string]bool{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{$}", r.answerCall)
	mux.HandleFunc("GET /stream", r.serveStream)
	var err error
	r.Server, err = testserver.New(address, mux)
	return r, err
}

// Close ends it and all its connections.
func (r *Relay) Close() error {
	close(r.stopped)
	return r.Server.Close()
}

// SetFault has calls ask f for their fault before anything is carried out; nil: none has any.
func (r *Relay) SetFault(f func(orders []string) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Inspect lets f read and change the state undisturbed.
func (r *Relay) Inspect(f func(state *State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.state)
}

// Connect lets a proxy connect.
func (r *Relay) Connect(id int, zone string, rate float64, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &Proxy{Zone: zone, Rate: rate, Tables: map[string]int{}, Fresh: fresh}
	r.state.Proxies[id] = p
	r.events.send(connectedEvent(id, p))
}

// Disconnect lets a proxy disconnect.
func (r *Relay) Disconnect(id int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.state.Proxies, id)
	r.events.send(fmt.Sprintf("event: left\ndata: node=%d\n\n", id))
}

func (r *Relay) answerCall(response http.ResponseWriter, request *http.Request) {
	if request.PostFormValue("Action") != "CommitChanges" || request.PostFormValue("orders") == "" {
		answerError(response, "SYNTAX")
		return
	}
	orders := strings.Split(request.PostFormValue("orders"), ";")
	fault := r.faultOf(orders)
	if fault == HalfTaken {
		orders = orders[:len(orders)/2]
	}
	taken := 0
	if fault.carriesOut() {
		taken = r.carryOut(orders)
	}
	switch fault {
	case ResetBefore, ResetAfter:
		panic(http.ErrAbortHandler)
	case SilentBefore, SilentAfter:
		select {
		case <-request.Context().Done():
		case <-r.stopped:
		}
		panic(http.ErrAbortHandler)
	case GarbledAnswer:
		answer(response, "<Response><results><item><taken>4")
	case BusyAnswer:
		answerError(response, "BUSY")
	case SyntaxAnswer:
		answerError(response, "SYNTAX")
	default:
		response.Header().Set("Content-Type", "text/xml")
		answer(response, fmt.Sprintf("<?xml version=\"1.0\"?>\n<Response><results><item><taken>%d</taken></item></results></Response>\n", taken))
	}
}

func (r *Relay) faultOf(orders []string) Fault {
	r.mu.Lock()
	fault := r.fault
	r.mu.Unlock()
	if fault == nil {
		return NoFault
	}
	return fault(orders)
}

func answer(w http.ResponseWriter, text string) {
	_, _ = fmt.Fprint(w, text) // the client may have gone
}

func answerError(w http.ResponseWriter, code string) {
	w.WriteHeader(http.StatusBadRequest)
	answer(w, fmt.Sprintf("<?xml version=\"1.0\"?>\n<Response><Errors><Error><Code>%s</Code></Error></Errors></Response>\n", code))
}
