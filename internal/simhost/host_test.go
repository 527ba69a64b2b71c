package simhost

import (
	"bytes"
	"strings"
	"testing"

	"madderhollow/internal/simproto"
)

// play gives the reply and the diagnostics of some lines.
func play(t *testing.T, lines ...string) (reply, diagnostics string) {
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

func TestBatchesAreAnswered(t *testing.T) {
	out, diag := play(t, `["mark",1,1]`, `["flush"]`, `["mark",2,2]`, openInstance, fullUpdate, `["connected",4,0,"n",5,false]`,
		`["flush"]`, `["mark",3,3]`, `["halt",4]`, `["flush"]`, `["mark",4,9007199254740993]`, `["left",4,0]`, `["flush"]`)
	for _, want := range []string{"[\"end\",1]\n", `["setLine",4,0,1,"a:1"]`, `["handTable",4,0,0,1]`,
		"[\"end\",3]\n", "[\"end\",9007199254740993]\n"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %s in %s", want, out)
		}
	}
	if !strings.Contains(diag, "line 12: no instance 4") {
		t.Errorf("an event for a killed instance went unsaid: %q", diag)
	}
}

func TestBadLinesDoNotStopTheProcess(t *testing.T) {
	out, diag := play(t, `["mark",1,1]`, `["left",4,"x"]`, `nonsense`, `["flush"]`, `["flush"]`)
	if out != "[\"end\",1]\n" {
		t.Errorf("reply %q", out)
	}
	for _, want := range []string{`line 2 skipped: left: "field 1"`, "line 3 skipped", "line 5: flush before any mark"} {
		if !strings.Contains(diag, want) {
			t.Errorf("no %q in %q", want, diag)
		}
	}
}

// A broken instance must never look like one with nothing to order.
func TestPanicBecomesFault(t *testing.T) {
	var out, diagnosed bytes.Buffer
	h := New(strings.NewReader(""), &out, &diagnosed)
	h.batch = &simproto.BatchStart{Now: 1}
	lines, err := h.handle(nil, instanceEvents{instance: 4})
	if err != nil || len(lines) != 1 || !strings.HasPrefix(string(lines[0]), `["fault",4,"`) || diagnosed.Len() == 0 {
		t.Errorf("lines %q (%v), log %q", lines, err, diagnosed.String())
	}
}
