// Command benchlink hosts assigners for the operators' simulator. It reads batches of events from standard input and
// writes one reply to each batch to standard output, both in the simulator's protocol (package simproto). It writes
// diagnostics to standard error.
package main

import (
	"fmt"
	"os"

	"madderhollow/internal/simhost"
)

func main() {
	if err := simhost.New(os.Stdin, os.Stdout, os.Stderr).Serve(); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
