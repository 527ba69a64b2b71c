// Package simhost runs many assigners in one process for the operators' simulator. Each of them is an instance. A Host
// reads batches of events from one stream, in the protocol of package simproto. To each batch it writes one reply with
// the orders of all instances. The time is the time that the batches state, and no clock is read. Host.Serve blocks
// while it reads, decides and writes, all in the goroutine that calls it.
package simhost

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"madderhollow/assign"
	"madderhollow/internal/simproto"
)

const (
	readBufferSize  = 1 << 20 // size of the read buffer of a Host, in bytes
	writeBufferSize = 1 << 16 // size of the write buffer of a Host, in bytes
)

// Host runs instances and replies to the batches of one stream. It must not be used by several goroutines at once.
type Host struct {
	input         *bufio.Reader
	output        *bufio.Writer
	diagnostics   io.Writer
	decoder       *simproto.Decoder
	instances     map[int]*assign.Assigner // open instances (simulated assigners), by number
	batch         *simproto.BatchStart     // start of the batch that is being read; nil outside a batch
	pendingEvents []instanceEvents         // events of the batch that have not been handled, one element per instance
	lineNumber    int                      // number of the input line that is being read, from 1
}

// instanceEvents holds events of one instance, in the order in which they were read.
type instanceEvents struct {
	instance int
	events   []assign.Event
}

// New returns a host that reads batches from input and writes replies to output. It writes to diagnostics about each
// line that it skips and each instance that panics. The host does not close input, output or diagnostics.
func New(input io.Reader, output, diagnostics io.Writer) *Host {
	return &Host{
		input:       bufio.NewReaderSize(input, readBufferSize),
		output:      bufio.NewWriterSize(output, writeBufferSize),
		diagnostics: diagnostics,
		decoder:     simproto.NewDecoder(),
		instances:   map[int]*assign.Assigner{},
	}
}

// Serve replies to batches until the input ends and then returns nil. It returns an error as soon as reading or writing
// fails. Lines that cannot be decoded are skipped.
func (h *Host) Serve() error {
	for h.lineNumber = 1; ; h.lineNumber++ {
		line, err := h.input.ReadBytes('\n')
		if len(line) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read line %d: %w", h.lineNumber, err)
		}
		message, err := h.decoder.Decode(line)
		if err != nil {
			h.writeDiagnostic("line %d skipped: %v", h.lineNumber, err)
			continue
		}
		if err := h.handleMessage(message); err != nil {
			return err
		}
	}
}

// writeDiagnostic writes a line for the operators to the diagnostics writer. An error of writing is discarded, because
// there is no other place to report it.
func (h *Host) writeDiagnostic(format string, values ...any) {
	_, _ = fmt.Fprintf(h.diagnostics, "benchlink: "+format+"\n", values...)
}

// handleMessage handles one message. Before an instance is opened again or halted, all pending events are handled.
func (h *Host) handleMessage(message simproto.Message) error {
	switch message := message.(type) {
	case simproto.BatchStart:
		h.batch = &message
		h.pendingEvents = h.pendingEvents[:0]
	case simproto.BatchEnd:
		return h.endBatch()
	case simproto.OpenInstance:
		if err := h.handlePendingEvents(); err != nil { // pending events are for the instance that is replaced below
			return err
		}
		h.instances[message.Instance] = assign.New(message.Seed, message.Config)
	case simproto.HaltInstance:
		if err := h.handlePendingEvents(); err != nil {
			return err
		}
		delete(h.instances, message.Instance)
	case simproto.InstanceEvent:
		if h.instances[message.Instance] == nil {
			h.writeDiagnostic("line %d skipped: no instance %d", h.lineNumber, message.Instance)
			return nil
		}
		h.addEvent(message)
	}
	return nil
}

// endBatch handles the pending events and completes the reply to the batch.
func (h *Host) endBatch() error {
	if h.batch == nil {
		h.writeDiagnostic("line %d skipped: batch end without batch start", h.lineNumber)
		return nil
	}
	if err := h.handlePendingEvents(); err != nil {
		return err
	}
	if err := h.writeReplyLine(simproto.EncodeReplyEnd(h.batch.Batch)); err != nil {
		return err
	}
	h.batch = nil
	if err := h.output.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

// addEvent adds an event to the pending events of its instance. Instances remain in the order of their first events.
func (h *Host) addEvent(message simproto.InstanceEvent) {
	for i := range h.pendingEvents {
		if h.pendingEvents[i].instance == message.Instance {
			h.pendingEvents[i].events = append(h.pendingEvents[i].events, message.Event)
			return
		}
	}
	h.pendingEvents = append(h.pendingEvents, instanceEvents{message.Instance, []assign.Event{message.Event}})
}

// handlePendingEvents passes the pending events to their instances, which are all open, and writes the orders of the
// instances. Outside a batch it discards the events.
func (h *Host) handlePendingEvents() error {
	pendingEvents := h.pendingEvents
	h.pendingEvents = h.pendingEvents[:0]
	if h.batch == nil {
		return nil
	}
	for _, eventsOfInstance := range pendingEvents {
		lines, err := h.handleInstanceEvents(h.instances[eventsOfInstance.instance], eventsOfInstance)
		if err != nil {
			return err
		}
		for _, line := range lines {
			if err := h.writeReplyLine(line); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleInstanceEvents passes events to an instance and returns the lines for its orders. If the instance panics or one
// of its orders cannot be encoded, the last line reports a fault. Without that line a broken instance would look like
// an instance without orders.
func (h *Host) handleInstanceEvents(assigner *assign.Assigner, eventsOfInstance instanceEvents) (lines [][]byte, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			h.writeDiagnostic("instance %d: %v\n%s", eventsOfInstance.instance, reason, debug.Stack())
			var fault []byte
			fault, err = simproto.EncodeFault(eventsOfInstance.instance, fmt.Sprint(reason))
			lines = append(lines, fault)
		}
	}()
	for _, order := range assigner.Handle(h.batch.Now, eventsOfInstance.events) {
		line, err := simproto.EncodeOrder(eventsOfInstance.instance, order)
		if err != nil {
			panic(err) // the deferred function reports the error as a fault
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// writeReplyLine writes a line of the reply to the write buffer, which endBatch flushes.
func (h *Host) writeReplyLine(line []byte) error {
	if _, err := h.output.Write(line); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := h.output.WriteByte('\n'); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
