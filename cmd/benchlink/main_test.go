package main

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

func play(t *testing.T, lines ...string) (out, diag string) {
	t.Helper()
	var o, d bytes.Buffer
	if err := serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &o, &d); err != nil {
		t.Fatal(err)
	}
	return o.String(), d.String()
}

const (
	open = `["openInstance",4,1,{"classes":[{"name":"r"}],"familyInfo":{"pendingMax":500}}]`
	list = `["update",4,1,"C",[["n",0,"a:1",1,"healthy",null,"m"]]]`
)

func TestBatchesAreAnswered(t *testing.T) {
	out, diag := play(t, `["mark",1,1]`, `["flush"]`, `["mark",2,2]`, open, list, `["connected",4,0,"n",5,false]`,
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
	for _, want := range []string{"line 2 skipped: left: field 1", "line 3 skipped", "line 5: flush before any mark"} {
		if !strings.Contains(diag, want) {
			t.Errorf("no %q in %q", want, diag)
		}
	}
}

// A broken instance must never look like one with nothing to order.
func TestPanicBecomesFault(t *testing.T) {
	var o, d bytes.Buffer
	w := bufio.NewWriter(&o)
	act(w, nil, turn{instance: 4}, 1, &d)
	w.Flush()
	if !strings.HasPrefix(o.String(), `["fault",4,"`) || d.Len() == 0 {
		t.Errorf("reply %q, log %q", o.String(), d.String())
	}
}
