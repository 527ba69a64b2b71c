// Package handover is for addresses that a new configuration may change while the program runs. Whoever follows something
// at such an address opens a stream at the new one beside the current stream, and lets that go only when the new one can
// stand alone.
package handover

import "sync"

// Address is an address that may move. Any goroutine may use it.
type Address struct {
	mu      sync.Mutex
	current string
	moved   chan struct{}
}

// NewAddress returns an address that has not moved yet.
func NewAddress(address string) *Address {
	return &Address{current: address, moved: make(chan struct{})}
}

// Current returns the address, and a channel that is closed once it moves.
func (a *Address) Current() (string, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current, a.moved
}

// Move sets the address and tells whether that is another one.
func (a *Address) Move(to string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if to == a.current {
		return false
	}
	close(a.moved)
	a.current = to
	a.moved = make(chan struct{})
	return true
}
