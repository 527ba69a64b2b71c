// Command benchlink hosts assigners on the operators' simulator, which speaks on standard input and output.
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
