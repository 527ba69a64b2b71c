package settings_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/config"
	"madderhollow/internal/simproto"
	"madderhollow/internal/wire"
)

// settingsJSON is the JSON text of a deployment's settings, as the daemon and the simulator adapter receive them.
const settingsJSON = `{"az":"x","balancers":2,"caps":{"peers":false},"classes":[{"name":"read","effect":"safe","worth":3,
	"onTimeMs":1000,"deadlineMs":3000,"group":"all"},{"name":"sign","effect":"unsafe","onlyZones":["x"]}],
	"familyInfo":{"bareMs":6000,"homeOnly":[false,true],"mutating":[false,true],"proxyCount":6},"unknown":{"key":[1,"z"]},
	"report":{"columns":["load_share","mean_ms","tps"],"via":"inline"},"roundMs":2,"zones":["x","y"]}`

// Messages with the settings in settingsJSON and messages with one load report, in the protocols of the simulator and
// of the daemon. The simulator's protocol encodes load values as an array. The daemon's protocol encodes them as an
// object and has two names for each load metric.
const (
	openInstanceMessage = `["openInstance",0,7,` + settingsJSON + `]`
	simulatorLoadReport = `["tally",0,"x",41.5,3,1000,"t",212,[0.61,140,93]]`

	daemonConfigurationFile = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
		"relay":{"address":"127.0.0.1:3"},"known":{"index":0,"snapshot":true,"endpoints":[]},"settings":` + settingsJSON + `}`
	daemonLoadReportFormat = `{"@type":"heard","locality":"x","endpoint":"t","total":212,"errors":3,"rtt":41.5,
		"interval":1000,"metrics":%s}` // the argument of the format is the JSON object with the load values
	loadByFirstNames  = `{"tps":93,"mean_ms":140,"more":1,"load_share":0.61}`
	loadBySecondNames = `{"util":0.61,"qps":93,"latency_ms":140}`
)

// simulatorInput returns the configuration and the load report that the simulator adapter passes to the decision
// module.
func simulatorInput(t *testing.T) (assign.Config, assign.Event) {
	t.Helper()
	decoder := simproto.NewDecoder()
	message, err := decoder.Decode([]byte(openInstanceMessage))
	if err != nil {
		t.Fatal(err)
	}
	open, ok := message.(simproto.OpenInstance)
	if !ok {
		t.Fatalf("got %#v, want the start of an instance", message)
	}
	message, err = decoder.Decode([]byte(simulatorLoadReport))
	if err != nil {
		t.Fatal(err)
	}
	report, ok := message.(simproto.InstanceEvent)
	if !ok {
		t.Fatalf("got %#v, want an event", message)
	}
	return open.Config, report.Event
}

// TestBothHostsPassSameConfigAndEvents checks that the simulator adapter and the daemon pass the same configuration
// and the same load report to the decision module. Otherwise measurements in the simulator would not be valid for the
// daemon.
func TestBothHostsPassSameConfigAndEvents(t *testing.T) {
	simulatorConfig, report := simulatorInput(t)
	cfg, err := config.Parse([]byte(daemonConfigurationFile), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(simulatorConfig, cfg.Settings) || simulatorConfig.MinBatchInterval != 0.002 {
		t.Errorf("got %+v in the simulator\nand %+v in the daemon, want the same, with batches at least 2 ms apart", simulatorConfig, cfg.Settings)
	}
	loadReport, ok := report.(assign.EndpointLoadReport)
	if !ok || loadReport.Load[1] != 0.14 {
		t.Errorf("got %+v, want a load report with a service time of 0.14 s", report)
	}
	codec := wire.NewCodec(cfg.Settings, time.Unix(0, 0))
	for _, load := range []string{loadByFirstNames, loadBySecondNames} {
		message, err := codec.DecodeMessage(fmt.Appendf(nil, daemonLoadReportFormat, load))
		if err != nil || !reflect.DeepEqual(message, wire.Report{Event: report}) {
			t.Errorf("%s: got %+v (%v), want %+v", load, message, err, report)
		}
	}
}
