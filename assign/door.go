// Package assign decides which tasks each proxy may use and how much it lets in.
package assign

// Settings is the plain map of names to values that a host hands over at the start. Values are
// float64 (times in seconds), bool, string, []string, []float64, []bool or [][]string. Lists whose
// name begins with "kind." run over the request kinds in their order. Names not known are skipped.
type Settings map[string]any

// State is what the list says of a task.
type State int

// The states of a listed task.
const (
	Ready State = iota
	Draining
	Gone
)

// Event is one of the event types below; Order one of the order types.
type (
	Event any
	Order any
)

// Entry is one line of the list of tasks.
type Entry struct {
	Zone    string
	Bay     int
	Task    string
	Size    float64
	State   State
	Started float64 // 0: long ago
	Model   string
}

// Events.
type (
	// Listed is news of the list. Whole: entries not named are gone. Failed: a call failed.
	Listed struct {
		Version int
		Whole   bool
		Failed  bool
		Entries []Entry
	}
	// Met sums what the proxies of one zone met at a task over Span.
	Met struct {
		Zone   string
		Task   string
		Span   float64
		Mean   float64 // of the good answers; 0 if none
		Tries  int
		Failed int
		Load   []float64 // in the order of the setting "load.columns"; nil if none came
	}
	// Used sums the reqs of a kind that reached a proxy over Span, refused ones too.
	Used struct {
		Proxy  int
		Kind   string
		Span   float64
		Reqs   int
		Failed int
	}
	// SliceUsed is the same for a slice.
	SliceUsed struct {
		Slice  int
		Kind   string
		Span   float64
		Reqs   int
		Failed int
	}
	// Joined: a proxy's stream stands. Fresh: it holds only its standing tables.
	Joined struct {
		Proxy int
		Zone  string
		Rate  float64
		Fresh bool
	}
	// Left: a proxy's stream broke.
	Left struct{ Proxy int }
	// Applied: the proxy has applied the message with this Mark and all earlier ones.
	Applied struct {
		Proxy int
		Mark  int
		Took  float64
	}
	// Given: a slice came into this assigner's charge, or left it. Held lines follow.
	Given struct {
		Slice int
		Ours  bool
	}
	// Held is one line of a given slice's table.
	Held struct {
		Slice  int
		Task   string
		Weight float64
	}
	// Probed is the result of a probe.
	Probed struct {
		Task string
		Code string
		Took float64
		Load []float64
	}
	// Heard is a message from another assigner.
	Heard struct {
		From int
		Data []byte
	}
	// Rang: a timer came due.
	Rang struct{ Name int }
)

// Orders.
type (
	// SetLine sets one line of a table; weight 0 removes it.
	SetLine struct {
		Table  int
		Task   string
		Weight float64
	}
	// Clear removes all lines and levels of a table.
	Clear struct{ Table int }
	// Bind hands a table to a proxy for the kinds named by position; none: all.
	Bind struct {
		Proxy int
		Table int
		Kinds []int
	}
	// SetLevel sets how much of some kinds is let in, and when proxies try again.
	SetLevel struct {
		Table  int // EveryProxy: all at once
		Kinds  []int
		Amount float64
		Resend int
	}
	// Withdraw shuts a task out of all tables of joined proxies, or lets it back in.
	Withdraw struct {
		Task string
		Out  bool
	}
	// Mark asks the receivers of this turn's messages for Applied.
	Mark struct {
		Mark     int
		Everyone bool
	}
	// After asks for Rang.
	After struct {
		In   float64
		Name int
	}
	// Log is a line for the report.
	Log struct{ Text string }
	// Probe checks a task.
	Probe struct{ Task string }
	// Tell sends bytes to another assigner; To -1: to all.
	Tell struct {
		To   int
		Data []byte
	}
	// Follow subscribes to the list, or ends that. FetchList asks for it once.
	Follow    struct{ On bool }
	FetchList struct{}
)

// EveryProxy stands for all joined proxies in SetLevel.
const EveryProxy = 65535
