package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/backoff"
	"madderhollow/internal/conditionlog"
	"madderhollow/internal/eventqueue"
	"madderhollow/internal/handover"
	"madderhollow/internal/wire"
)

// minReopenDelay and maxReopenDelay bound the delays between two attempts to open the event stream. The platform allows
// 4 s without one.
const (
	minReopenDelay = 10 * time.Millisecond
	maxReopenDelay = 100 * time.Millisecond
)

// EventReaderConfig configures an EventReader.
type EventReaderConfig struct {
	Address *handover.Address // of the relay; its owner may move it at any time; required
	Codec   *wire.Codec       // decodes the events; required
	Sink    eventqueue.Sink   // receives the events, from the goroutine that calls Run; its error ends the stream; required
	Seed    int64             // of the random part of the delays between attempts; any value
	Log     zerolog.Logger    // default: no log
}

// EventReader reads the relay's event stream over one connection, or over two during the handover to a new address. Use
// NewEventReader.
type EventReader struct {
	address      *handover.Address
	codec        *wire.Codec
	merger       *streamMerger
	delays       *backoff.Backoff
	disconnected *conditionlog.Condition // no stream is forwarding
	moveFailing  *conditionlog.Condition // the stream at the new address fails while the old one is forwarding
}

// NewEventReader returns a reader that has not opened a stream yet.
func NewEventReader(config EventReaderConfig) *EventReader {
	log := componentLogger(config.Log)
	return &EventReader{
		address: config.Address,
		codec:   config.Codec,
		merger:  newStreamMerger(config.Sink, log),
		delays:  backoff.New(minReopenDelay, maxReopenDelay, config.Seed),
		disconnected: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "event stream disconnected; retrying",
			Recovered: "event stream connected",
		}),
		moveFailing: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "event stream at new relay address failed; keeping old stream",
			Recovered: "event stream uses current relay address",
		}),
	}
}

// Run reads until the context ends. It returns after its connections are closed and the goroutines that read them have
// ended. It is called once.
func (r *EventReader) Run(ctx context.Context) {
	handover.Follow(ctx, r.address, r.delays, handover.Source[*streamItem]{
		Open: r.readStream,
		Receive: func(item *streamItem, duringHandover bool) (ready bool) {
			return r.receive(ctx, item, duringHandover)
		},
		Failed: func(err error, duringHandover bool) {
			if ctx.Err() == nil {
				r.logFailure(err, duringHandover)
			}
		},
	})
}

// receive passes an item on to the merger, and reports whether its stream is forwarding.
func (r *EventReader) receive(ctx context.Context, item *streamItem, duringHandover bool) (forwarding bool) {
	forwarding, item.err = r.merger.receive(ctx, item, duringHandover)
	if forwarding && item.isHeartbeat() {
		r.recoverConditions(item.stream)
	}
	return forwarding
}

// logFailure logs that a stream has ended.
func (r *EventReader) logFailure(err error, duringHandover bool) {
	condition := r.disconnected
	if duringHandover {
		condition = r.moveFailing
	}
	address, _ := r.address.Current()
	condition.Fail(err, func(line *zerolog.Event) {
		line.Str("address", address).Int("proxies", len(r.merger.reported))
	})
}

// recoverConditions ends the failures that a stream which forwards a heartbeat disproves. An event does not suffice, because
// a stream that breaks after its snapshot each time has not recovered.
func (r *EventReader) recoverConditions(stream *streamState) {
	r.disconnected.Recover()
	if address, _ := r.address.Current(); stream.address == address {
		r.moveFailing.Recover()
	}
}

// componentLogger returns a logger whose lines name the component of this package.
func componentLogger(log zerolog.Logger) zerolog.Logger {
	return log.With().Str("component", "relay").Logger()
}
