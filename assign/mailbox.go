package assign

// recordMessage is a message within the Assigner that changes a record or starts a computation. Any code of the package
// may read a record, but only the handlers of record messages change it. Record messages are handled one after another,
// in the order in which they were enqueued.
//
// Three changes happen outside the handlers. Records are created when an event or a lookup first names them, in
// Assigner.getOrCreateEndpoint, Assigner.getOrCreateProxy and Assigner.getOrCreateZone. Expired endpoints are deleted
// while an endpoint update is dispatched. endpoint.healthFor and zone.planFor add a value to a record on first use.
type recordMessage interface{ handle(a *Assigner) }

// enqueue appends a record message to the mailbox.
func (a *Assigner) enqueue(m recordMessage) { a.mailbox = append(a.mailbox, m) }

// processMailbox handles all record messages in the mailbox, including messages that are enqueued by the handlers.
func (a *Assigner) processMailbox() {
	for i := 0; i < len(a.mailbox); i++ {
		a.mailbox[i].handle(a)
	}
	clear(a.mailbox)
	a.mailbox = a.mailbox[:0]
}

// Messages within the Assigner to the record of an endpoint.
type (
	// endpointListed reports that an endpoint update names the endpoint.
	endpointListed struct {
		endpoint *endpoint
		entry    Endpoint
	}
	// endpointRemoved reports that the endpoint list no longer contains the endpoint, or lists it as removed. It is
	// enqueued again at each tick while the endpoint is delisted, that is, no longer listed but in use while it
	// answers.
	endpointRemoved struct{ endpoint *endpoint }
	// loadReported carries a load report on the endpoint.
	loadReported struct {
		endpoint *endpoint
		report   EndpointLoadReport
	}
	// endpointUnhealthy reports that the proxies of one zone found the endpoint unhealthy.
	endpointUnhealthy struct {
		endpoint *endpoint
		health   *zoneHealth
	}
)

func (m endpointListed) handle(assigner *Assigner)  { m.endpoint.applyListing(assigner, m.entry) }
func (m endpointRemoved) handle(assigner *Assigner) { m.endpoint.applyRemoval(assigner) }
func (m loadReported) handle(assigner *Assigner)    { m.endpoint.recordLoadReport(assigner, m.report) }
func (m endpointUnhealthy) handle(assigner *Assigner) {
	m.endpoint.decreaseHealthWeight(assigner, m.health)
}

// Messages within the Assigner to the record of a proxy.
type (
	// proxyConnected reports that the stream of the proxy is open.
	proxyConnected struct {
		proxy *proxy
		event ProxyConnected
	}
	// proxyDisconnected reports that the stream of the proxy has ended.
	proxyDisconnected struct{ proxy *proxy }
	// trafficReported carries a traffic report of the proxy on one request class.
	trafficReported struct {
		proxy  *proxy
		report ProxyTrafficReport
	}
	// messageAcknowledged reports that the proxy has applied a message.
	messageAcknowledged struct {
		proxy    *proxy
		sequence int
	}
	// quotaAssigned sets the quota and the rate limit of the proxy.
	quotaAssigned struct {
		proxy     *proxy
		quota     float64 // fraction of the total rate of all proxies
		rateLimit float64 // rate limit in requests per second; 0: no rate limit
	}
	// ordersSent reports that a message was sent to the proxy, and which orders it contains.
	ordersSent struct {
		proxy   *proxy
		orders  []Order
		message inFlightMessage
	}
	// proxySilent reports that the proxy has sent no report for timing.SilenceTimeout.
	proxySilent struct{ proxy *proxy }
)

func (m proxyConnected) handle(assigner *Assigner)      { m.proxy.connect(assigner, m.event) }
func (m proxyDisconnected) handle(*Assigner)            { m.proxy.disconnect() }
func (m trafficReported) handle(assigner *Assigner)     { m.proxy.recordTrafficReport(assigner, m.report) }
func (m messageAcknowledged) handle(assigner *Assigner) { m.proxy.acknowledge(assigner, m.sequence) }
func (m quotaAssigned) handle(*Assigner)                { m.proxy.assignQuota(m.quota, m.rateLimit) }
func (m ordersSent) handle(assigner *Assigner)          { m.proxy.recordSent(assigner, m.orders, m.message) }
func (m proxySilent) handle(assigner *Assigner)         { m.proxy.leaveSplit(assigner) }

// Messages within the Assigner to the Assigner itself and to its order scheduler.
type (
	// tickDue starts a tick.
	tickDue struct{}
	// joinRequested asks for a quota for the proxy, which makes it a member of the rate split.
	joinRequested struct{ proxy *proxy }
	// joinDue gives quotas to the proxies that wait to join the rate split.
	joinDue struct{}
	// tablesOutdated reports that the tables of the proxy have to be computed again. A nil proxy stands for all
	// proxies.
	tablesOutdated struct{ proxy *proxy }
	// acknowledgmentReceived reports that a proxy acknowledged a message that was sent at the given time, in seconds.
	acknowledgmentReceived struct{ sentAt float64 }
	// connectionOpened reports that the stream of any proxy is open.
	connectionOpened struct{}
	// schedulingDue starts the computation of the tables of all pending proxies, whose tables may be outdated, and
	// sends the resulting orders.
	schedulingDue struct{}
)

func (tickDue) handle(assigner *Assigner)          { assigner.runTick() }
func (m joinRequested) handle(assigner *Assigner)  { assigner.queueJoin(m.proxy) }
func (joinDue) handle(assigner *Assigner)          { assigner.addJoiningProxies() }
func (m tablesOutdated) handle(assigner *Assigner) { assigner.scheduler.markPending(assigner, m.proxy) }
func (m acknowledgmentReceived) handle(assigner *Assigner) {
	assigner.scheduler.recordAcknowledgment(assigner, m.sentAt)
}
func (connectionOpened) handle(assigner *Assigner) { assigner.scheduler.recordConnection() }
func (schedulingDue) handle(assigner *Assigner)    { assigner.scheduler.sendPending(assigner) }
