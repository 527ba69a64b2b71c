package simhost

import (
	"bytes"
	"strings"
	"testing"

	"madderhollow/internal/simproto"
)

// serve returns the reply and the diagnostics of a host that reads some lines.
func serve(t *testing.T, lines ...string) (reply, diagnostics string) {
	t.Helper()
	var out, diagnosed bytes.Buffer
	if err := New(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out, &diagnosed).Serve(); err != nil {
		t.Fatal(err)
	}
	return out.String(), diagnosed.String()
}

// Messages of the protocol, and messages of replies, for instance 4.
const (
	batchStart1       = `["mark",1,1]`
	batchStart2       = `["mark",2,2]`
	batchStart3       = `["mark",3,3]`
	batchStartLarge   = `["mark",4,9007199254740993]` // float64 does not represent the number of the batch
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
	faultStart    = `["fault",4,"`
)

func TestHostRepliesToEachBatch(t *testing.T) {
	reply, diagnostics := serve(t, batchStart1, batchEnd, batchStart2, openInstance, fullUpdate, proxyConnected, batchEnd,
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
	reply, diagnostics := serve(t, batchStart1, invalidProxy, `nonsense`, batchEnd, batchEnd)
	if reply != replyEnd1 {
		t.Errorf("got reply %q, want %q", reply, replyEnd1)
	}
	for _, want := range []string{`line 2 skipped: left: "field 1"`, "line 3 skipped", "line 5 skipped: batch end without batch start"} {
		if !strings.Contains(diagnostics, want) {
			t.Errorf("got diagnostics %q, want %q", diagnostics, want)
		}
	}
}

// A broken instance must not be mistaken for one without orders.
func TestHostReportsPanicOfInstanceAsFault(t *testing.T) {
	var reply, diagnostics bytes.Buffer
	host := New(strings.NewReader(""), &reply, &diagnostics)
	host.batch = &simproto.BatchStart{Now: 1}
	lines, err := host.handleInstance(nil, instanceEvents{instance: 4}) // a nil assigner panics
	if err != nil {
		t.Fatal(err)
	}
	if len(lines) != 1 || !strings.HasPrefix(string(lines[0]), faultStart) {
		t.Errorf("got lines %q, want one that begins with %s", lines, faultStart)
	}
	if diagnostics.Len() == 0 {
		t.Error("got no diagnostics, want the panic's stack")
	}
}
