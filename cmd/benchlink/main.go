// Command benchlink hosts assigners for the operators' simulator. It reads the simulator's protocol (package simproto) from
// standard input, writes replies to standard output and diagnostics to standard error.
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
