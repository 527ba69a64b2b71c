package assign

// message is what the parts of the module tell each other. A record may be read by every part, but only the handler of a
// message changes it, and messages are handled one after another in the order they were sent.
type message interface{ deliver(a *Assigner) }

// send puts a message behind those that wait.
func (a *Assigner) send(m message) { a.mailbox = append(a.mailbox, m) }

// drain handles all messages that wait, and those that their handlers send.
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
	endpointRemoved struct{ endpoint *endpoint }
	loadReported    struct {
		endpoint *endpoint
		report   EndpointLoadReport
	}
	endpointTick      struct{ endpoint *endpoint }
	unhealthyInPeriod struct {
		endpoint *endpoint
		health   *zoneHealth
	}
)

func (m endpointListed) deliver(assigner *Assigner)    { m.endpoint.list(assigner, m.entry) }
func (m endpointRemoved) deliver(assigner *Assigner)   { m.endpoint.remove(assigner) }
func (m loadReported) deliver(assigner *Assigner)      { m.endpoint.addReport(assigner, m.report) }
func (m endpointTick) deliver(assigner *Assigner)      { m.endpoint.tick(assigner) }
func (m unhealthyInPeriod) deliver(assigner *Assigner) { m.endpoint.reduceWeight(assigner, m.health) }

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
		proxy *proxy
		quota float64 // fraction of the total rate
		limit float64 // requests per second; 0: none
	}
	ordersSent struct {
		proxy  *proxy
		orders []Order
		batch  unacknowledgedBatch
	}
	proxySilent struct{ proxy *proxy }
)

func (m proxyConnected) deliver(assigner *Assigner)  { m.proxy.connect(assigner, m.event) }
func (m proxyDisconnected) deliver(*Assigner)        { m.proxy.disconnect() }
func (m trafficReported) deliver(assigner *Assigner) { m.proxy.addReport(assigner, m.report) }
func (m acknowledged) deliver(*Assigner)             { m.proxy.acknowledge(m.sequence) }
func (m quotaAssigned) deliver(*Assigner)            { m.proxy.quota, m.proxy.rateLimit = m.quota, m.limit }
func (m ordersSent) deliver(assigner *Assigner)      { m.proxy.recordSent(assigner, m.orders, m.batch) }
func (m proxySilent) deliver(assigner *Assigner)     { m.proxy.forgetTraffic(assigner) }

// Messages to the rate split and to the order scheduler.
type (
	splitTick          struct{}
	proxyAdmitted      struct{ proxy *proxy }
	admissionsComplete struct{}
	recomputeRequested struct{ proxy *proxy } // nil: all proxies
	scheduleOrders     struct{}
)

func (splitTick) deliver(assigner *Assigner)          { assigner.split.tick(assigner) }
func (m proxyAdmitted) deliver(assigner *Assigner)    { assigner.split.admit(assigner, m.proxy) }
func (admissionsComplete) deliver(assigner *Assigner) { assigner.split.shareWithAdmitted(assigner) }
func (m recomputeRequested) deliver(assigner *Assigner) {
	assigner.scheduler.request(assigner, m.proxy)
}
func (scheduleOrders) deliver(assigner *Assigner) { assigner.scheduler.run(assigner) }
