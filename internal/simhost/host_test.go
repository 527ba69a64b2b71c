package simhost

import (
	"bytes"
	"strings"
	"testing"

	"madderhollow/internal/simproto"
)

// serveLines returns the reply and the diagnostics that a host writes while it reads lines.
func serveLines(t *testing.T, lines ...string) (reply, diagnostics string) {
	t.Helper()
	var replyOutput, diagnosticOutput bytes.Buffer
	if err := New(strings.NewReader(strings.Join(lines, "\n")+"\n"), &replyOutput, &diagnosticOutput).Serve(); err != nil {
		t.Fatal(err)
	}
	return replyOutput.String(), diagnosticOutput.String()
}

// Lines that the host of instance 4 reads, and lines of its replies or their beginnings.
const (
	batchStart1       = `["mark",1,1]`
	batchStart2       = `["mark",2,2]`
	batchStart3       = `["mark",3,3]`
	batchStartLarge   = `["mark",4,9007199254740993]` // message with a batch number that float64 cannot represent
	batchEnd          = `["flush"]`
	openInstance      = `["openInstance",4,1,{"classes":[{"name":"r"}],"familyInfo":{"pendingMax":500}}]`
	haltInstance      = `["halt",4]`
	fullUpdate        = `["update",4,1,"C",[["n",0,"a:1",1,"healthy",null,"m"]]]`
	proxyConnected    = `["connected",4,0,"n",5,false]`
	proxyDisconnected = `["left",4,0]`
	invalidProxy      = `["left",4,"x"]`

	replyEnd1     = `["end",1]` + "\n"
	replyEnd3     = `["end",3]` + "\n"
	replyEndLarge = `["end",9007199254740993]` + "\n"
	setWeight     = `["setLine",4,0,1,"a:1"]`
	attachTable   = `["handTable",4,0,0,1]`
	faultPrefix   = `["fault",4,"`
)

func TestHostRepliesToEachBatch(t *testing.T) {
	reply, diagnostics := serveLines(t, batchStart1, batchEnd, batchStart2, openInstance, fullUpdate, proxyConnected, batchEnd,
		batchStart3, haltInstance, batchEnd, batchStartLarge, proxyDisconnected, batchEnd)
	for _, want := range []string{replyEnd1, setWeight, attachTable, replyEnd3, replyEndLarge} {
		if !strings.Contains(reply, want) {
			t.Errorf("got reply\n%swant one with %s", reply, want)
		}
	}
	if want := "line 12 skipped: no instance 4"; !strings.Contains(diagnostics, want) {
		t.Errorf("got diagnostics %q, want %q for the event of a halted instance", diagnostics, want)
	}
}

func TestHostSkipsLinesThatCannotBeUsed(t *testing.T) {
	reply, diagnostics := serveLines(t, batchStart1, invalidProxy, `nonsense`, batchEnd, batchEnd)
	if reply != replyEnd1 {
		t.Errorf("got reply %q, want %q", reply, replyEnd1)
	}
	for _, want := range []string{`line 2 skipped: left: "field 1"`, "line 3 skipped", "line 5 skipped: batch end without batch start"} {
		if !strings.Contains(diagnostics, want) {
			t.Errorf("got diagnostics %q, want %q", diagnostics, want)
		}
	}
}

// TestHostReportsPanicOfInstanceAsFault guards against a broken instance that looks like an instance without orders:
// the reply must contain a fault after a panic.
func TestHostReportsPanicOfInstanceAsFault(t *testing.T) {
	var reply, diagnostics bytes.Buffer
	host := New(strings.NewReader(""), &reply, &diagnostics)
	host.batch = &simproto.BatchStart{Now: 1}
	lines, err := host.handleInstanceEvents(nil, instanceEvents{instance: 4}) // the nil assigner causes a panic
	if err != nil {
		t.Fatal(err)
	}
	if len(lines) != 1 || !strings.HasPrefix(string(lines[0]), faultPrefix) {
		t.Errorf("got lines %q, want one that begins with %s", lines, faultPrefix)
	}
	if diagnostics.Len() == 0 {
		t.Error("got no diagnostics, want the panic's stack")
	}
}
