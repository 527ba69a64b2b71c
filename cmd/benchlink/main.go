// Command benchlink hosts assigner instances on the simulator's wire.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"madderhollow/assign"
	"madderhollow/benchwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// turn is what one instance got in a batch.
type turn struct {
	instance int
	events   []assign.Event
}

// serve answers batches until the input ends.
func serve(in io.Reader, out, diag io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<16)
	dec := benchwire.NewDecoder()
	hosted := map[int]*assign.Assigner{}
	var tick *benchwire.Tick
	var turns []turn
	hand := func() {
		for _, t := range turns {
			if a := hosted[t.instance]; a != nil && tick != nil {
				act(w, a, t, tick.Now, diag)
			}
		}
		turns = turns[:0]
	}
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if len(line) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		l, err := dec.Decode(line)
		if err != nil {
			fmt.Fprintf(diag, "benchlink: line %d skipped: %v\n", n, err)
			continue
		}
		switch e := l.Event.(type) {
		case benchwire.Tick:
			tick, turns = &e, turns[:0]
		case benchwire.Start:
			hand() // what came before belongs to the instance's former life
			hosted[l.Instance] = assign.New(e.Seed, e.Settings)
		case benchwire.Stop:
			hand()
			delete(hosted, l.Instance)
		case nil:
			if l.Flush {
				if tick == nil {
					fmt.Fprintf(diag, "benchlink: line %d: flush before any mark\n", n)
					continue
				}
				hand()
				w.Write(benchwire.EncodeEnd(tick.Batch))
				w.WriteByte('\n')
				if err := w.Flush(); err != nil {
					return err
				}
				tick = nil
			}
		default:
			if hosted[l.Instance] == nil {
				fmt.Fprintf(diag, "benchlink: line %d: no instance %d\n", n, l.Instance)
				continue
			}
			turns = collect(turns, l)
		}
	}
}

// collect adds an event to its instance's turn, keeping the order in which instances first appear.
func collect(turns []turn, l benchwire.Line) []turn {
	for i := range turns {
		if turns[i].instance == l.Instance {
			turns[i].events = append(turns[i].events, l.Event)
			return turns
		}
	}
	return append(turns, turn{l.Instance, []assign.Event{l.Event}})
}

// act lets one instance decide; a panic becomes a fault line, so that it is never mistaken for
// an instance with nothing to order.
func act(w *bufio.Writer, a *assign.Assigner, t turn, now float64, diag io.Writer) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(diag, "benchlink: instance %d: %v\n%s", t.instance, p, debug.Stack())
			w.Write(append(benchwire.EncodeFault(t.instance, fmt.Sprint(p)), '\n'))
		}
	}()
	for _, o := range a.Handle(now, t.events) {
		b, err := benchwire.Encode(t.instance, o)
		if err != nil {
			panic(err)
		}
		w.Write(append(b, '\n'))
	}
}
