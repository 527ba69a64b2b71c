package collectortest_test

import (
	"bufio"
	"fmt"
	"log"
	"net"

	"madderhollow/internal/collectortest"
)

// This example connects a collector to an assigner, identifies the collector, and reports the number of requests of a
// request class at a proxy.
func Example() {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // listener in place of an assigner
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = listener.Close() }()

	collector, err := collectortest.Dial(listener.Addr().String(), "zone-a")
	if err != nil {
		log.Print(err)
		return
	}
	defer func() { _ = collector.Close() }()
	if err := collector.ReportProxyTraffic(1, "read", 20); err != nil {
		log.Print(err)
		return
	}

	conn, err := listener.Accept()
	if err != nil {
		log.Print(err)
		return
	}
	defer func() { _ = conn.Close() }()
	lines := bufio.NewScanner(conn)
	for range 2 {
		lines.Scan()
		fmt.Println(lines.Text())
	}
	// Output:
	// {"@type":"collector","locality":"zone-a"}
	// {"@type":"usage","node":1,"route":"read","total":20,"errors":0,"interval":1000}
}
