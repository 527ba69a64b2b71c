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

const (
	openInstance = `["openInstance",4,1,{"classes":[{"name":"r"}],"familyInfo":{"pendingMax":500}}]`
	fullUpdate   = `["update",4,1,"C",[["n",0,"a:1",1,"healthy",null,"m"]]]`
)

func TestHostRepliesToEachBatch(t *testing.T) {
	reply, diagnostics := serve(t, `["mark",1,1]`, `["flush"]`, `["mark",2,2]`, openInstance, fullUpdate, `["connected",4,0,"n",5,false]`,
		`["flush"]`, `["mark",3,3]`, `["halt",4]`, `["flush"]`, `["mark",4,9007199254740993]`, `["left",4,0]`, `["flush"]`)
	for _, want := range []string{"[\"end\",1]\n", `["setLine",4,0,1,"a:1"]`, `["handTable",4,0,0,1]`,
		"[\"end\",3]\n", "[\"end\",9007199254740993]\n"} {
		if !strings.Contains(reply, want) {
			t.Errorf("got reply\n%swant one with %s", reply, want)
		}
	}
	if want := "line 12 skipped: no instance 4"; !strings.Contains(diagnostics, want) {
		t.Errorf("got diagnostics %q, want %q for the event of a halted instance", diagnostics, want)
	}
}

func TestHostSkipsLinesThatCannotBeUsed(t *testing.T) {
	reply, diagnostics := serve(t, `["mark",1,1]`, `["left",4,"x"]`, `nonsense`, `["flush"]`, `["flush"]`)
	if want := "[\"end\",1]\n"; reply != want {
		t.Errorf("got reply %q, want %q", reply, want)
	}
	for _, want := range []string{"line 2 skipped: left: field 1", "line 3 skipped", "line 5 skipped: batch end without batch start"} {
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
	const want = `["fault",4,"`
	if len(lines) != 1 || !strings.HasPrefix(string(lines[0]), want) {
		t.Errorf("got lines %q, want one that begins with %s", lines, want)
	}
	if diagnostics.Len() == 0 {
		t.Error("got no diagnostics, want the panic's stack")
	}
}
