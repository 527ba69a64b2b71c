// Package simproto reads and writes the operators' simulator protocol: JSON arrays, one a line, in which a message's name
// comes first and its values follow in a fixed order. Decoder turns lines into events of package assign and a few
// messages of its own, Encode turns orders into lines. Units, names and ids are translated and nothing else is done.
package simproto

import (
	"encoding/json"

	"madderhollow/assign"
)

// Message is one of the message types below.
type Message interface{ isMessage() }

// OpenInstance starts an incarnation of an assigner. What came before for the instance belongs to its former one.
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

// BatchStart opens a batch of events, all of the same time.
type BatchStart struct {
	Now   float64     // s
	Batch json.Number // its number, to be given back as it came
}

// BatchEnd asks for the reply to the batch.
type BatchEnd struct{}

// UnknownMessage has a name that is not known. It is to be passed over.
type UnknownMessage struct{ Name string }

func (OpenInstance) isMessage()   {}
func (HaltInstance) isMessage()   {}
func (InstanceEvent) isMessage()  {}
func (BatchStart) isMessage()     {}
func (BatchEnd) isMessage()       {}
func (UnknownMessage) isMessage() {}
