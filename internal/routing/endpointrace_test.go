package routing

import (
	"testing"
	"time"

	"kitewood/balance"
)

// A list that changes nothing leaves the address of an endpoint alone, which connections that are being opened read. The race detector
// judges. Guards against a write of the same address with each list.
func TestListLeavesTheAddressInUseAlone(t *testing.T) {
	l, network := start(t, limits)
	submit(l, time.Minute)
	endpoint := (<-network.sent).Endpoint
	read := make(chan string)
	go func() { read <- endpoint.Address }()
	l.UpdateEndpoints(balance.Delta, 9, []Member{{Name: "a", Address: "a:1", State: balance.Ready},
		{Name: "b", Address: "b:1", State: balance.Ready}})
	waitForEvents(l)
	<-read
	(<-network.done)(Result{Status: balance.OK})
}
