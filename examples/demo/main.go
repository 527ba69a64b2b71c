// Command demo simulates the environment of one assigner on the loopback interface, and prints the effects of the
// assigner's orders. It runs a fake relay with six proxies, a fake discovery agent with twelve endpoints, and a fake
// collector for each zone. No proxy serves requests; the collectors send the reports of a fixed scenario.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	configPath := flag.String("config", "examples/config.json", "path of the assigner's configuration file")
	movedPath := flag.String("moved", "examples/moved.json", "path of the configuration file that replaces the first one at the end of the demo")
	flag.Parse()
	if err := run(*configPath, *movedPath); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run runs the demo. The file at configPath is the assigner's configuration at the start. The file at movedPath
// replaces it in the last step.
func run(configPath, movedPath string) error {
	demo, err := newDemo(configPath)
	if err != nil {
		return err
	}
	defer demo.close()
	fmt.Printf("Waiting for an assigner at %s. In another terminal:\n"+
		"    cp %s mine.json\n    EDGE_CONFIG=mine.json bin/madderhollow & echo $!\n", demo.config.Listen, configPath)
	for _, step := range []func() error{demo.awaitAssigner, demo.connectProxies, demo.drainAndRestart, demo.overload} {
		if err := step(); err != nil {
			return err
		}
	}
	return demo.moveAddresses(movedPath)
}
