package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

const (
	held = iota
	broken
	couldNotRun
)

func fail(err error) {
	fmt.Fprintln(os.Stderr, "standin:", err)
	os.Exit(couldNotRun)
}

func main() {
	runtime.LockOSThread() // the assigner is ended with the thread that started it
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", "", "root of the project, with bin/ built")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	seed := flag.Int64("seed", 1, "seed of the stand-ins")
	flag.Parse()
	cases := map[string]func(*run) int{"news": newsCase, "spoilt": spoiltCase, "hall": hallCase}
	if cases[*name] == nil {
		fail(fmt.Errorf("no case %q", *name))
	}
	file, err := os.Create(*record)
	if err != nil {
		fail(err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail(err)
	}
	rootPath, err := filepath.Abs(*root)
	if err != nil {
		fail(err)
	}
	r := &run{platform: newPlatform(file, *seed), root: rootPath, folder: folder, trouble: *trouble, done: make(chan struct{})}
	r.serve()
	code := cases[*name](r)
	close(r.done)
	r.mu.Lock()
	r.log("result: exit %d", code)
	r.log("what the assigner logged:")
	if text, err := os.ReadFile(filepath.Join(folder, "assigner.log")); err == nil {
		_, _ = file.Write(text)
	}
	_ = file.Close()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// run is one run of a case.
type run struct {
	*platform
	root, folder string
	trouble      bool
	done         chan struct{}
}

func (r *run) startTraffic() {
	go func() {
		const step = 20 * time.Millisecond
		tick := time.NewTicker(step)
		defer tick.Stop()
		last := time.Now()
		for {
			select {
			case <-r.done:
				return
			case now := <-tick.C:
				r.traffic(now.Sub(last))
				last = now
			}
		}
	}()
}

func (r *run) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func sinceMs(t time.Time) float64 { return float64(t.UnixMilli()) }
