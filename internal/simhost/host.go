// Package simhost runs many assigners in one process for the operators' simulator. It reads batches of events from one
// stream, in the protocol of package simproto, and writes one reply to each batch, with the orders of all instances. The
// time is that of the batches; no clock is read. Host.Serve blocks while it reads, decides and writes, all in the goroutine
// that calls it.
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
	readBufferSize  = 1 << 20 // bytes
	writeBufferSize = 1 << 16 // bytes
)

// Host replies to the batches of one stream. It must not be used by several goroutines at once.
type Host struct {
	in          *bufio.Reader
	out         *bufio.Writer
	diagnostics io.Writer
	decoder     *simproto.Decoder
	instances   map[int]*assign.Assigner // the open ones, by number
	batch       *simproto.BatchStart     // the batch being read; nil: none
	events      []instanceEvents         // collected for the next handleEvents, by instance in order of first appearance
	line        int                      // number of the line being read, from 1
}

// instanceEvents are events of one instance, in the order in which they were read.
type instanceEvents struct {
	instance int
	events   []assign.Event
}

// New returns a host that reads batches from in and writes replies to out. It writes a line to diagnostics for each line
// that it skips and each instance that panics. The caller owns all three.
func New(in io.Reader, out, diagnostics io.Writer) *Host {
	return &Host{
		in:          bufio.NewReaderSize(in, readBufferSize),
		out:         bufio.NewWriterSize(out, writeBufferSize),
		diagnostics: diagnostics,
		decoder:     simproto.NewDecoder(),
		instances:   map[int]*assign.Assigner{},
	}
}

// Serve replies to batches until the input ends, which is no error, or reading or writing fails. Lines that cannot be
// decoded are skipped.
func (h *Host) Serve() error {
	for h.line = 1; ; h.line++ {
		line, err := h.in.ReadBytes('\n')
		if len(line) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read line %d: %w", h.line, err)
		}
		message, err := h.decoder.Decode(line)
		if err != nil {
			h.diagnose("line %d skipped: %v", h.line, err)
			continue
		}
		if err := h.receive(message); err != nil {
			return err
		}
	}
}

// diagnose writes a line for the operators. Its error is discarded: there is no other place to report it.
func (h *Host) diagnose(format string, values ...any) {
	_, _ = fmt.Fprintf(h.diagnostics, "benchlink: "+format+"\n", values...)
}

// receive handles one message. An instance that is opened again or halted handles its collected events first.
func (h *Host) receive(message simproto.Message) error {
	switch message := message.(type) {
	case simproto.BatchStart:
		h.batch = &message
		h.events = h.events[:0]
	case simproto.BatchEnd:
		return h.endBatch()
	case simproto.OpenInstance:
		if err := h.handleEvents(); err != nil { // the events so far belong to the instance's previous incarnation
			return err
		}
		h.instances[message.Instance] = assign.New(message.Seed, message.Config)
	case simproto.HaltInstance:
		if err := h.handleEvents(); err != nil {
			return err
		}
		delete(h.instances, message.Instance)
	case simproto.InstanceEvent:
		if h.instances[message.Instance] == nil {
			h.diagnose("line %d skipped: no instance %d", h.line, message.Instance)
			return nil
		}
		h.collect(message)
	}
	return nil
}

// endBatch handles the collected events and completes the reply to the batch.
func (h *Host) endBatch() error {
	if h.batch == nil {
		h.diagnose("line %d skipped: batch end without batch start", h.line)
		return nil
	}
	if err := h.handleEvents(); err != nil {
		return err
	}
	if err := h.writeLine(simproto.EncodeEnd(h.batch.Batch)); err != nil {
		return err
	}
	h.batch = nil
	if err := h.out.Flush(); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

// collect adds an event to the events of its instance.
func (h *Host) collect(message simproto.InstanceEvent) {
	for i := range h.events {
		if h.events[i].instance == message.Instance {
			h.events[i].events = append(h.events[i].events, message.Event)
			return
		}
	}
	h.events = append(h.events, instanceEvents{message.Instance, []assign.Event{message.Event}})
}

// handleEvents passes the collected events to their instances, which are all open, and writes the orders. Outside a batch it
// drops the events.
func (h *Host) handleEvents() error {
	collected := h.events
	h.events = h.events[:0]
	if h.batch == nil {
		return nil
	}
	for _, input := range collected {
		lines, err := h.handleInstance(h.instances[input.instance], input)
		if err != nil {
			return err
		}
		for _, line := range lines {
			if err := h.writeLine(line); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleInstance passes events to an instance and returns the lines of its orders. After a panic the last line reports a
// fault, so that a broken instance is not mistaken for one without orders; so it does after an order that cannot be encoded.
func (h *Host) handleInstance(assigner *assign.Assigner, input instanceEvents) (lines [][]byte, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			h.diagnose("instance %d: %v\n%s", input.instance, reason, debug.Stack())
			var fault []byte
			fault, err = simproto.EncodeFault(input.instance, fmt.Sprint(reason))
			lines = append(lines, fault)
		}
	}()
	for _, order := range assigner.Handle(h.batch.Now, input.events) {
		line, err := simproto.Encode(input.instance, order)
		if err != nil {
			panic(err) // reported as a fault, above
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// writeLine writes a line of the reply. endBatch flushes it.
func (h *Host) writeLine(line []byte) error {
	if _, err := h.out.Write(line); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := h.out.WriteByte('\n'); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
