// Command demo runs a small platform of fakes on the loopback address for one assigner, and prints what the assigner orders:
// a relay with six proxies, discovery with twelve endpoints, and a collector for each zone. No request is served; the reports
// follow a script.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	configPath := flag.String("config", "examples/config.json", "the assigner's configuration")
	movedPath := flag.String("moved", "examples/moved.json", "the configuration that replaces it at the end")
	flag.Parse()
	if err := run(*configPath, *movedPath); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(configPath, movedPath string) error {
	demo, err := newDemo(configPath)
	if err != nil {
		return err
	}
	defer demo.close()
	fmt.Printf("Waiting for an assigner at %s. In another terminal:\n"+
		"    cp %s mine.json\n    EDGE_CONFIG=mine.json bin/madderhollow & echo $!\n", demo.config.Listen, configPath)
	for _, scene := range []func() error{demo.awaitAssigner, demo.connectProxies, demo.drainAndRestart, demo.overload} {
		if err := scene(); err != nil {
			return err
		}
	}
	return demo.move(movedPath)
}
