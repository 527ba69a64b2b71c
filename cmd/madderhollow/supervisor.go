package main

import (
	"context"
	"runtime/pprof"
	"sync"
)

// part is one of the program's long-running functions.
type part struct {
	name string                // label of its goroutines in profiles
	run  func(context.Context) // must return after its context ends, or after another part has returned
}

// supervisor runs parts, each in a goroutine of its own.
type supervisor struct{ parts []part }

// add registers a part. It must not be called after run.
func (s *supervisor) add(name string, run func(context.Context)) {
	s.parts = append(s.parts, part{name, run})
}

// run starts the parts in the order in which they were added, and returns once all have returned. It sets no time limit:
// main forces the exit if a part blocks.
func (s *supervisor) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, p := range s.parts {
		running.Add(1)
		go func() { // ends when the part returns
			defer running.Done()
			pprof.Do(ctx, pprof.Labels("part", p.name), p.run)
		}()
	}
	running.Wait()
}
