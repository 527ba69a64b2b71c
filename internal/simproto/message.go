// Package simproto decodes and encodes the simulator's protocol: one JSON array per line. A Decoder converts lines into
// events of package assign and a few messages of this package. EncodeOrder converts orders into lines. The package only
// translates names, units and identifiers. It makes no decisions and does no I/O. The methods of a Decoder must not be
// called by several goroutines at once, but the functions of the package may be.
//
// The file names.go lists the names used in the protocol, with the fields and units of each message.
package simproto

import (
	"encoding/json"

	"madderhollow/assign"
)

// Message is a message that the simulator sends: OpenInstance, HaltInstance, InstanceEvent, BatchStart, BatchEnd or
// UnknownMessage.
type Message interface{ isMessage() }

// OpenInstance starts a new incarnation of an instance, which is one simulated assigner. Earlier messages for the
// instance are for its previous incarnation.
type OpenInstance struct {
	Instance int           // number of the instance that starts
	Seed     int64         // seed of the assigner's random numbers
	Config   assign.Config // settings of the deployment
}

// HaltInstance ends an instance.
type HaltInstance struct{ Instance int }

// InstanceEvent passes an event to an instance.
type InstanceEvent struct {
	Instance int
	Event    assign.Event
}

// BatchStart starts a batch of events that all happen at the same time.
type BatchStart struct {
	Now   float64     // time of the events, in seconds
	Batch json.Number // number of the batch, which the reply repeats digit by digit
}

// BatchEnd ends a batch and asks for the reply to it.
type BatchEnd struct{}

// UnknownMessage is a message whose name is not part of the protocol. A simhost.Host ignores it.
type UnknownMessage struct{ Name string }

func (OpenInstance) isMessage()   {}
func (HaltInstance) isMessage()   {}
func (InstanceEvent) isMessage()  {}
func (BatchStart) isMessage()     {}
func (BatchEnd) isMessage()       {}
func (UnknownMessage) isMessage() {}
