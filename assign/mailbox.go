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

func (m endpointListed) deliver(a *Assigner)    { m.endpoint.list(a, m.entry) }
func (m endpointRemoved) deliver(a *Assigner)   { m.endpoint.remove(a) }
func (m loadReported) deliver(a *Assigner)      { m.endpoint.addReport(a, m.report) }
func (m endpointTick) deliver(a *Assigner)      { m.endpoint.tick(a) }
func (m unhealthyInPeriod) deliver(a *Assigner) { m.endpoint.reduceWeight(a, m.health) }

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

func (m proxyConnected) deliver(a *Assigner)  { m.proxy.connect(a, m.event) }
func (m proxyDisconnected) deliver(*Assigner) { m.proxy.disconnect() }
func (m trafficReported) deliver(a *Assigner) { m.proxy.addReport(a, m.report) }
func (m acknowledged) deliver(*Assigner)      { m.proxy.acknowledge(m.sequence) }
func (m quotaAssigned) deliver(*Assigner)     { m.proxy.quota, m.proxy.rateLimit = m.quota, m.limit }
func (m ordersSent) deliver(a *Assigner)      { m.proxy.recordSent(a, m.orders, m.batch) }
func (m proxySilent) deliver(a *Assigner)     { m.proxy.forgetTraffic(a) }

// Messages to the rate split and to the order scheduler.
type (
	splitTick          struct{}
	proxyAdmitted      struct{ proxy *proxy }
	admissionsComplete struct{}
	recomputeRequested struct{ proxy *proxy } // nil: all proxies
	scheduleOrders     struct{}
)

func (splitTick) deliver(a *Assigner)            { a.split.tick(a) }
func (m proxyAdmitted) deliver(a *Assigner)      { a.split.admit(a, m.proxy) }
func (admissionsComplete) deliver(a *Assigner)   { a.split.shareWithAdmitted(a) }
func (m recomputeRequested) deliver(a *Assigner) { a.scheduler.request(a, m.proxy) }
func (scheduleOrders) deliver(a *Assigner)       { a.scheduler.run(a) }
