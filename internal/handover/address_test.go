package handover

import "testing"

func TestSetSignalsOnlyChangedAddress(t *testing.T) {
	address := NewAddress("a")
	_, changed := address.Current()
	if address.Set("a") {
		t.Error("Set to the same address: got true, want false")
	}
	select {
	case <-changed:
		t.Error("after Set to the same address: got the channel closed, want it open")
	default:
	}
	if !address.Set("b") {
		t.Error("Set to another address: got false, want true")
	}
	select {
	case <-changed:
	default:
		t.Error("after Set to another address: got the channel open, want it closed")
	}
	if got, _ := address.Current(); got != "b" {
		t.Errorf("got address %q, want %q", got, "b")
	}
}
