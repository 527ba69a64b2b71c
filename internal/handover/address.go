// Package handover keeps a stream open to a source, such as the endpoint list of an agent, whose address may change
// while the program runs. After a change of the address, Follow opens a stream at the new address while the stream at
// the old address continues. It closes the old stream when the new stream is ready to replace it. Address holds the
// address.
package handover

import "sync"

// Address is a network address that may change. It is safe for concurrent use, and its methods never block.
type Address struct {
	mu      sync.Mutex // mu guards all fields below
	current string
	changed chan struct{} // channel that is closed and replaced when the address changes
}

// NewAddress returns an Address whose initial value is the given address.
func NewAddress(address string) *Address {
	return &Address{current: address, changed: make(chan struct{})}
}

// Current returns the current address and a channel that is closed when the address changes.
func (a *Address) Current() (address string, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current, a.changed
}

// Set sets the address and reports whether it differs from the previous address.
func (a *Address) Set(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if address == a.current {
		return false
	}
	close(a.changed)
	a.current = address
	a.changed = make(chan struct{})
	return true
}
