package orderqueue

import (
	"testing"

	"madderhollow/assign"
)

func TestProxyTrackerFindsProxiesOfTable(t *testing.T) {
	proxies := newProxyTracker()
	proxies.recordConnect(assign.ProxyConnected{Proxy: 1})
	proxy := proxies.connectedProxies[1]
	proxies.setTables(proxy, "0,", 3)
	proxies.setTables(proxy, "1,", 3, 4)
	proxies.setTables(proxy, "1,", 4)
	expectUsers := func(table, want int) {
		t.Helper()
		got := 0
		proxies.forEachRecipient(assign.ClearTable{Table: table}, func(*connectedProxy) { got++ })
		if got != want {
			t.Errorf("got %d users of table %d, want %d", got, table, want)
		}
	}
	expectUsers(3, 1)
	expectUsers(4, 1)
	expectUsers(5, 0)
	expectUsers(assign.AllProxyTables, 1)
	proxies.recordDisconnect(1)
	expectUsers(3, 0)
	expectUsers(4, 0)
	if len(proxies.proxiesByTable) != 0 {
		t.Errorf("after disconnect: got users %v, want none", proxies.proxiesByTable)
	}
}
