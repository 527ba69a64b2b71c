package handover

import "testing"

func TestMoveSignalsOnlyAChangedAddress(t *testing.T) {
	address := NewAddress("a")
	_, moved := address.Current()
	if address.Move("a") {
		t.Error("Move to the same address: got true, want false")
	}
	select {
	case <-moved:
		t.Error("after a move to the same address: got the channel closed, want it open")
	default:
	}
	if !address.Move("b") {
		t.Error("Move to another address: got false, want true")
	}
	select {
	case <-moved:
	default:
		t.Error("after a move to another address: got the channel open, want it closed")
	}
	if got, _ := address.Current(); got != "b" {
		t.Errorf("got address %q, want %q", got, "b")
	}
}
