// Package simproto decodes and encodes the simulator's protocol: one JSON array per line. A Decoder converts lines into
// events of package assign and a few messages of this package; Encode converts orders into lines. The package translates
// names, units and identifiers, decides nothing and does no I/O. A Decoder belongs to one goroutine; all functions may be
// called by any.
//
// names.go has the table of the protocol's names, with the fields and units of each message.
package simproto

import (
	"encoding/json"

	"madderhollow/assign"
)

// Message is one of the message types below.
type Message interface{ isMessage() }

// OpenInstance starts an incarnation of an assigner. Earlier messages for the instance belong to its previous incarnation.
type OpenInstance struct {
	Instance int
	Seed     int64
	Config   assign.Config
}

// HaltInstance ends an instance.
type HaltInstance struct{ Instance int }

// InstanceEvent is an event for an instance.
type InstanceEvent struct {
	Instance int
	Event    assign.Event
}

// BatchStart opens a batch of events that all happen at the same time.
type BatchStart struct {
	Now   float64     // s
	Batch json.Number // number of the batch; the reply repeats it digit by digit
}

// BatchEnd asks for the reply to the batch.
type BatchEnd struct{}

// UnknownMessage is a message whose name this package does not know. Hosts ignore it.
type UnknownMessage struct{ Name string }

func (OpenInstance) isMessage()   {}
func (HaltInstance) isMessage()   {}
func (InstanceEvent) isMessage()  {}
func (BatchStart) isMessage()     {}
func (BatchEnd) isMessage()       {}
func (UnknownMessage) isMessage() {}
