package relay

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/standin"
)

func line(task string, mark int) []assign.Order {
	return []assign.Order{assign.SetWeight{Table: 1, Endpoint: task, Weight: 1}, assign.AcknowledgmentRequest{Sequence: mark}}
}

func (b *bench) has(tasks ...string) (ok bool) {
	b.Look(func() {
		ok = len(b.Tables[1]) == len(tasks)
		for _, t := range tasks {
			ok = ok && b.Tables[1][t] == 1
		}
	})
	return ok
}

// The relay closes a connection that stood idle while the next call is being made: a close that has arrived is seen, and
// the call goes out on a new connection instead of being in doubt.
func TestIdleConnectionClosedBeforeACall(t *testing.T) {
	b := newBench(t, 1)
	defer b.end()
	for i, task := range []string{"a", "b", "c"} {
		b.x.Submit(line(task, i))
		if !standin.Until(soon, func() bool { return b.calls() == i+1 }) {
			t.Fatalf("call %d did not come", i)
		}
		if !standin.Until(soon, func() bool { return b.CloseIdle() > 0 }) {
			t.Fatal("no connection stands idle")
		}
	}
	if n := b.x.Stats().Repeated; n > 0 || !b.has("a", "b", "c") {
		t.Errorf("%d calls were made again", n)
	}
}

// Told to end amid a call, it hears the call out, and what was ordered meanwhile goes out too.
func TestToldToEndAmidACall(t *testing.T) {
	b := newBench(t, 1)
	calls, goOn := make(chan struct{}, 10), make(chan struct{})
	b.Look(func() {
		b.OnCall = func([]string) standin.Break {
			calls <- struct{}{}
			<-goOn
			return standin.Fine
		}
	})
	b.x.Submit(line("a", 1))
	<-calls
	b.x.Submit(line("b", 2))
	b.stop()
	close(goOn)
	b.wg.Wait()
	defer b.Close()
	if n := b.x.Stats(); n.Repeated > 0 || n.Waiting > 0 || !b.has("a", "b") {
		t.Errorf("%+v", n)
	}
	b.Look(func() {
		if want := [][]string{{"put,1,a,1", "fence,1,0"}, {"put,1,b,1", "fence,2,0"}}; !reflect.DeepEqual(b.Calls, want) {
			t.Errorf("calls %v, want %v", b.Calls, want)
		}
	})
}

// Told to end, it ends in time whatever the relay does with the last calls.
func TestToldToEndWhateverTheRelayDoes(t *testing.T) {
	for _, how := range []standin.Break{standin.SilentBefore, standin.SilentAfter, standin.LostBefore, standin.LostAfter, standin.GarbledAfter,
		standin.Busy, standin.Syntax, standin.Half} {
		b := newBench(t, 1)
		calls := make(chan struct{}, 1000)
		b.Look(func() {
			b.OnCall = func([]string) standin.Break { calls <- struct{}{}; return how }
		})
		b.x.Submit(line("a", 1))
		<-calls
		b.x.Submit(line("b", 2))
		began := time.Now()
		b.stop()
		b.wg.Wait()
		if took := time.Since(began); took > soon/2 { // 0.4 s, and what a busy machine takes
			t.Errorf("break %v: it took %v", how, took)
		}
		b.Close()
	}
}

// A proxy leaves, joins elsewhere and comes back between a binding's going out and its receipt: nobody can say which of its
// streams got the binding, so it is told as not fresh, and the receipt of the call still counts for what else was in it.
func TestProxyLeavesBetweenBindingAndReceipt(t *testing.T) {
	b := newBench(t, 1)
	defer b.end()
	b.Join(3, "a", 2, true)
	b.Join(4, "a", 2, true)
	b.heard(2)
	calls, goOn := make(chan struct{}, 10), make(chan struct{})
	b.Look(func() {
		b.OnCall = func(orders []string) standin.Break {
			if strings.HasPrefix(orders[0], "attach") {
				calls <- struct{}{}
				<-goOn
				return standin.LostAfter
			}
			return standin.Fine
		}
	})
	b.x.Submit([]assign.Order{assign.AttachTable{Proxy: 3, Table: 1}, assign.AttachTable{Proxy: 4, Table: 2}, assign.SetWeight{Table: 1, Endpoint: "a", Weight: 1},
		assign.SetWeight{Table: 2, Endpoint: "a", Weight: 1}, assign.AcknowledgmentRequest{Sequence: 5}})
	<-calls
	b.Leave(3)
	b.Join(3, "a", 2, true)
	want := []assign.Event{assign.ProxyDisconnected{Proxy: 3}, assign.ProxyConnected{Proxy: 3, Zone: "a", TypicalRate: 2}}
	if got := b.heard(2); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	close(goOn)
	if got := b.heard(2); len(got) < 2 {
		t.Errorf("receipts %+v", got)
	}
	b.x.Submit(line("b", 6))
	if !standin.Until(soon, func() bool { return b.has("a", "b") }) {
		t.Error("the next order did not come")
	}
	b.Look(func() {
		for _, c := range b.Calls[1:] {
			for _, o := range c {
				if strings.HasPrefix(o, "attach,3") {
					t.Errorf("a binding for a stream that is gone was made again: %v", c)
				}
			}
		}
	})
}

// The old address' news break while the new address' stream is still being read beside them, so that nobody can vouch for
// what came between: what stands is told again, and who left unseen is told as left.
func TestOldNewsBreakBesideTheNew(t *testing.T) {
	b := newBench(t, 1)
	defer b.end()
	b.Look(func() { b.SignEvery = time.Hour }) // the new stream waits for a sign of the old one
	for i := range 3 {
		b.Join(i, "a", 2, true)
	}
	b.heard(3)
	b.Look(func() { delete(b.Proxies, 1) })
	if err := b.Move("", time.Hour); err != nil {
		t.Fatal(err)
	}
	b.at.Move(b.Address())
	if !standin.Until(soon, func() bool { return b.Readers() == 2 }) {
		t.Fatal("the new news are not asked for beside the old")
	}
	b.CutOldest()
	b.Leave(2)
	told := map[int]int{}
	if !standin.Until(soon, func() bool {
		b.Sign()
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, e := range b.told {
			switch e := e.(type) {
			case assign.ProxyConnected:
				told[e.Proxy]++
			case assign.ProxyDisconnected:
				told[e.Proxy] = -1
			}
		}
		b.told = nil
		return reflect.DeepEqual(told, map[int]int{0: 1, 1: -1, 2: -1})
	}) {
		t.Errorf("told %v", told)
	}
}
