// Package simhost hosts many assigners in one process, on the operators' simulator protocol: batches of events come in on
// one stream, and one reply with the orders of all instances goes out for each. The simulator's clock is the only one.
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

// Host answers the batches of one stream.
type Host struct {
	in          *bufio.Reader
	out         *bufio.Writer
	diagnostics io.Writer
	decoder     *simproto.Decoder
	instances   map[int]*assign.Assigner
	batch       *simproto.BatchStart // that is open; nil: none
	events      []instanceEvents     // of the open batch, in the order in which instances first appear
	line        int                  // number of the line under way
}

// instanceEvents are the events of one instance in a batch.
type instanceEvents struct {
	instance int
	events   []assign.Event
}

// New makes a host that reads batches and writes replies. Diagnostics name lines that cannot be used, which are skipped.
func New(in io.Reader, out, diagnostics io.Writer) *Host {
	return &Host{
		in:          bufio.NewReaderSize(in, readBufferSize),
		out:         bufio.NewWriterSize(out, writeBufferSize),
		diagnostics: diagnostics,
		decoder:     simproto.NewDecoder(),
		instances:   map[int]*assign.Assigner{},
	}
}

// Serve answers batches until the input ends.
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

// diagnose writes a line for the operators. One that cannot be written has nowhere else to go.
func (h *Host) diagnose(format string, values ...any) {
	_, _ = fmt.Fprintf(h.diagnostics, "benchlink: "+format+"\n", values...)
}

func (h *Host) receive(message simproto.Message) error {
	switch message := message.(type) {
	case simproto.BatchStart:
		h.batch = &message
		h.events = h.events[:0]
	case simproto.BatchEnd:
		return h.endBatch()
	case simproto.OpenInstance:
		if err := h.decide(); err != nil { // what came before belongs to the former incarnation
			return err
		}
		h.instances[message.Instance] = assign.New(message.Seed, message.Config)
	case simproto.HaltInstance:
		if err := h.decide(); err != nil {
			return err
		}
		delete(h.instances, message.Instance)
	case simproto.InstanceEvent:
		if h.instances[message.Instance] == nil {
			h.diagnose("line %d: no instance %d", h.line, message.Instance)
			return nil
		}
		h.collect(message)
	}
	return nil
}

func (h *Host) endBatch() error {
	if h.batch == nil {
		h.diagnose("line %d: flush before any mark", h.line)
		return nil
	}
	if err := h.decide(); err != nil {
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

// collect adds an event to its instance's events.
func (h *Host) collect(m simproto.InstanceEvent) {
	for i := range h.events {
		if h.events[i].instance == m.Instance {
			h.events[i].events = append(h.events[i].events, m.Event)
			return
		}
	}
	h.events = append(h.events, instanceEvents{m.Instance, []assign.Event{m.Event}})
}

// decide has the instances handle the events collected so far, and writes their orders.
func (h *Host) decide() error {
	collected := h.events
	h.events = h.events[:0]
	if h.batch == nil {
		return nil
	}
	for _, c := range collected {
		assigner := h.instances[c.instance]
		if assigner == nil {
			continue
		}
		lines, err := h.handle(assigner, c)
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

// handle lets one instance decide. A panic becomes a fault line, so that a broken instance is never mistaken for one with
// nothing to order.
func (h *Host) handle(assigner *assign.Assigner, c instanceEvents) (lines [][]byte, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			h.diagnose("instance %d: %v\n%s", c.instance, reason, debug.Stack())
			var fault []byte
			fault, err = simproto.EncodeFault(c.instance, fmt.Sprint(reason))
			lines = append(lines, fault)
		}
	}()
	for _, order := range assigner.Handle(h.batch.Now, c.events) {
		line, err := simproto.Encode(c.instance, order)
		if err != nil {
			panic(err)
		}
		lines = append(lines, line)
	}
	return lines, nil
}

func (h *Host) writeLine(line []byte) error {
	if _, err := h.out.Write(line); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if err := h.out.WriteByte('\n'); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}
