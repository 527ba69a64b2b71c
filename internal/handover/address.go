// Package handover follows a source, such as an agent's endpoint list, at an address that may change while the program
// runs. After a change it opens a stream at the new address while the stream at the old one continues, and closes the old
// one when the new one is ready to replace it. The address is an Address; Follow keeps the streams.
package handover

import "sync"

// Address is a network address that may change. Any goroutine may use it; no call blocks.
type Address struct {
	mu      sync.Mutex
	current string
	moved   chan struct{} // closed at the next change
}

// NewAddress returns an Address with its first value.
func NewAddress(address string) *Address {
	return &Address{current: address, moved: make(chan struct{})}
}

// Current returns the address and a channel that is closed when it changes.
func (a *Address) Current() (address string, moved <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current, a.moved
}

// Move sets the address, and reports whether it changed.
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
