package assign

// recordMessage is a change to a record. Every part may read a record, but only the handler of a message changes it. Messages
// are handled one after another in the order in which they were sent. Records are created earlier, when an event or a
// look-up first names them: Assigner.endpoint, Assigner.connectingProxy and Assigner.zone. Expired endpoints are deleted while an
// update is dispatched. endpoint.healthIn and zone.plan add to a record on first use.
type recordMessage interface{ deliver(a *Assigner) }

// send appends a message to the pending ones.
func (a *Assigner) send(m recordMessage) { a.mailbox = append(a.mailbox, m) }

// drain handles all pending messages, and those that their handlers send.
func (a *Assigner) drain() {
	for i := 0; i < len(a.mailbox); i++ {
		a.mailbox[i].deliver(a)
	}
	clear(a.mailbox)
	a.mailbox = a.mailbox[:0]
}

// Messages to an endpoint's record.
type (
	endpointListed struct {
		endpoint *endpoint
		entry    Endpoint
	}
	endpointDropped struct{ endpoint *endpoint } // the list dropped it or names it removed; each tick while it is delisted
	loadReported    struct {
		endpoint *endpoint
		report   EndpointLoadReport
	}
	foundUnhealthy struct {
		endpoint *endpoint
		health   *zoneHealth
	}
)

func (m endpointListed) deliver(assigner *Assigner)  { m.endpoint.applyListing(assigner, m.entry) }
func (m endpointDropped) deliver(assigner *Assigner) { m.endpoint.applyDrop(assigner) }
func (m loadReported) deliver(assigner *Assigner)    { m.endpoint.recordLoad(assigner, m.report) }
func (m foundUnhealthy) deliver(assigner *Assigner)  { m.endpoint.decreaseWeight(assigner, m.health) }

// Messages to a proxy's record.
type (
	proxyConnected struct {
		proxy *proxy
		event ProxyConnected
	}
	proxyDisconnected struct{ proxy *proxy }
	trafficReported   struct {
		proxy  *proxy
		report ProxyTrafficReport
	}
	acknowledged struct {
		proxy    *proxy
		sequence int
	}
	quotaAssigned struct {
		proxy     *proxy
		quota     float64 // fraction of the total rate
		rateLimit float64 // requests per second; 0: none
	}
	ordersSent struct {
		proxy   *proxy
		orders  []Order
		message unacknowledgedMessage
	}
	proxySilent struct{ proxy *proxy }
)

func (m proxyConnected) deliver(assigner *Assigner)  { m.proxy.connect(assigner, m.event) }
func (m proxyDisconnected) deliver(*Assigner)        { m.proxy.disconnect() }
func (m trafficReported) deliver(assigner *Assigner) { m.proxy.recordTraffic(assigner, m.report) }
func (m acknowledged) deliver(*Assigner)             { m.proxy.acknowledge(m.sequence) }
func (m quotaAssigned) deliver(*Assigner)            { m.proxy.assignQuota(m.quota, m.rateLimit) }
func (m ordersSent) deliver(assigner *Assigner)      { m.proxy.recordSent(assigner, m.orders, m.message) }
func (m proxySilent) deliver(assigner *Assigner)     { m.proxy.forgetTraffic(assigner) }

// Messages to the Assigner itself and to the order scheduler.
type (
	tickDue               struct{}
	joinRequested         struct{ proxy *proxy }
	joinRequestsCollected struct{}
	tablesOutdated        struct{ proxy *proxy } // nil: those of all proxies
	schedulingDue         struct{}
)

func (tickDue) deliver(assigner *Assigner)               { assigner.runTick() }
func (m joinRequested) deliver(assigner *Assigner)       { assigner.requestJoin(m.proxy) }
func (joinRequestsCollected) deliver(assigner *Assigner) { assigner.joinSplit() }
func (m tablesOutdated) deliver(assigner *Assigner)      { assigner.scheduler.request(assigner, m.proxy) }
func (schedulingDue) deliver(assigner *Assigner)         { assigner.scheduler.run(assigner) }
