package main

import (
	"context"
	"runtime/pprof"
	"sync"
)

// component is a long-running function of the program.
type component struct {
	name string // value of the profiling label "part" on the component's goroutines
	// run must return after its context has ended. Before it returns, it may wait for another component.
	run func(context.Context)
}

// supervisor runs components, each in its own goroutine. It does not restart a component that has returned.
type supervisor struct{ components []component }

// add registers a component. It must not be called after run.
func (s *supervisor) add(name string, run func(context.Context)) {
	s.components = append(s.components, component{name, run})
}

// run starts the components in the order in which they were added, and returns once all components have returned. It
// has no time limit, because the main package forces the exit of the process if a component blocks after the context
// has ended.
func (s *supervisor) run(ctx context.Context) {
	var runningComponents sync.WaitGroup
	for _, registeredComponent := range s.components {
		runningComponents.Add(1)
		go func() { // the goroutine ends when the component returns
			defer runningComponents.Done()
			pprof.Do(ctx, pprof.Labels("part", registeredComponent.name), registeredComponent.run)
		}()
	}
	runningComponents.Wait()
}
