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

// minReopenDelay and maxReopenDelay bound the delay between two attempts to open the event stream. The platform
// tolerates 4 s without an event stream.
const (
	minReopenDelay = 10 * time.Millisecond
	maxReopenDelay = 100 * time.Millisecond
)

// EventReaderConfig configures an EventReader.
type EventReaderConfig struct {
	Address *handover.Address // address of the relay, which may change at any time; required
	Codec   *wire.Codec       // codec that decodes the events; required
	Sink    eventqueue.Sink   // sink that Run passes the events to; an error of the sink ends the stream; required
	Seed    int64             // seed of the jitter of the delays between attempts to open the stream; any value
	Log     zerolog.Logger    // logger of the EventReader; the zero value logs nothing
}

// EventReader reads the event stream of the relay over one connection, or over two connections during the handover to
// a new address. NewEventReader creates an EventReader.
type EventReader struct {
	address         *handover.Address
	codec           *wire.Codec
	merger          *streamMerger
	retryBackoff    *backoff.Backoff
	disconnected    *conditionlog.Condition // condition that no stream is in the forwarding state
	handoverFailing *conditionlog.Condition // condition that the stream at the new address fails during a handover
}

// NewEventReader returns an EventReader that has not opened a stream yet.
func NewEventReader(config EventReaderConfig) *EventReader {
	log := componentLogger(config.Log)
	return &EventReader{
		address:      config.Address,
		codec:        config.Codec,
		merger:       newStreamMerger(config.Sink, log),
		retryBackoff: backoff.New(minReopenDelay, maxReopenDelay, config.Seed),
		disconnected: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "event stream disconnected; retrying",
			Recovered: "event stream connected",
		}),
		handoverFailing: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "event stream at new relay address failed; keeping old stream",
			Recovered: "event stream uses current relay address",
		}),
	}
}

// Run reads the event stream until the context ends. It returns after its connections are closed and the goroutines
// that read from them have ended. Run must be called only once.
func (r *EventReader) Run(ctx context.Context) {
	handover.Follow(ctx, r.address, r.retryBackoff, handover.Source[*streamItem]{
		Open: r.readStream,
		Receive: func(item *streamItem, duringHandover bool) (ready bool) {
			return r.receive(ctx, item, duringHandover)
		},
		ReceiveLate: func(item *streamItem) {
			item.receiveErr = r.merger.receiveLate(ctx, item.event)
		},
		Failed: func(err error, duringHandover bool) {
			if ctx.Err() == nil {
				r.logFailure(err, duringHandover)
			}
		},
	})
}

// receive passes an item to the merger, and reports whether the stream of the item is in the forwarding state.
func (r *EventReader) receive(ctx context.Context, item *streamItem, duringHandover bool) (forwarding bool) {
	forwarding, item.receiveErr = r.merger.receive(ctx, item, duringHandover)
	if forwarding && item.isHeartbeat() {
		r.recoverConditions(item.stream)
	}
	return forwarding
}

// logFailure logs the error that ended a stream. The argument duringHandover is true if the stream was the new stream
// of a handover.
func (r *EventReader) logFailure(err error, duringHandover bool) {
	condition := r.disconnected
	if duringHandover {
		condition = r.handoverFailing
	}
	address, _ := r.address.Current()
	condition.RecordFailure(err, func(line *zerolog.Event) {
		line.Str("address", address).Int("proxies", len(r.merger.reportedProxies)).Int("unread_bytes", unreadBytes(err))
	})
}

// recoverConditions ends the logged conditions that are ruled out by a heartbeat from a stream in the forwarding state.
// An event does not rule them out, because a stream that breaks after each snapshot has not recovered.
func (r *EventReader) recoverConditions(stream *streamState) {
	r.disconnected.RecordSuccess()
	if address, _ := r.address.Current(); stream.address == address {
		r.handoverFailing.RecordSuccess()
	}
}

// componentLogger returns a logger that adds the component name of this package to each line.
func componentLogger(log zerolog.Logger) zerolog.Logger {
	return log.With().Str("component", "relay").Logger()
}
