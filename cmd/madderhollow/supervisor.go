package main

import (
	"context"
	"runtime/pprof"
	"sync"
)

// part is one of the program's goroutines. It runs until its context ends.
type part struct {
	name string // as its goroutines are labelled in profiles
	run  func(context.Context)
}

// supervisor runs parts.
type supervisor struct{ parts []part }

func (s *supervisor) add(name string, run func(context.Context)) {
	s.parts = append(s.parts, part{name, run})
}

// run starts the parts in the order in which they were added, and returns once all have ended.
func (s *supervisor) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, p := range s.parts {
		running.Add(1)
		go func() {
			defer running.Done()
			pprof.Do(ctx, pprof.Labels("part", p.name), p.run)
		}()
	}
	running.Wait()
}
