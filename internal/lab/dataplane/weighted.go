package dataplane

import (
	"context"
	"errors"
	"net"
	"slices"

	"kitewood/internal/lab/proxy"
)

// RouteHost returns the host by which the control service's routes select a pool.
func RouteHost(pool string) string { return pool + ".lab" }

// xdsPicker selects among the endpoints that a control service sends over xDS.
type xdsPicker struct {
	pool  string
	table *proxy.Table
	loads *proxy.LoadTracker
	port  string // at which this proxy reaches instances
}

// newXDSPicker returns an xdsPicker that is updated by a control service until the context ends.
func newXDSPicker(ctx context.Context, c config, o Options) (*xdsPicker, error) {
	if len(c.Known.Endpoints) == 0 {
		return nil, errors.New("the known endpoint list is empty, so the port at which this proxy reaches instances is unknown")
	}
	// The lab tells proxies apart by the port that they send to, one for each proxy. The addresses in the control service's list
	// have another port.
	_, port, err := net.SplitHostPort(c.Known.Endpoints[0].Address)
	if err != nil {
		return nil, err
	}
	x := &xdsPicker{pool: o.Pool, table: proxy.NewTable(), loads: proxy.NewLoadTracker(), port: port}
	x.table.InFlight = x.loads.InFlight
	client := &proxy.Client{NodeID: c.Name, Servers: []string{o.Control}, Delta: true, Table: x.table, LoadTracker: x.loads, Log: o.Log}
	go client.Run(ctx)
	return x, nil
}

func (x *xdsPicker) ready() bool { return x.table.Ready(x.pool) }

func (x *xdsPicker) shouldDrop() bool { return x.table.ShouldDrop(x.pool) }

func (x *xdsPicker) pick(tried []string) (string, func(bool, map[string]float64)) {
	noHeader := func(string) string { return "" }
	for range 2 * (len(tried) + 1) { // each pick advances the rotation, so an untried endpoint comes up if there is one
		listed, err := x.table.Pick(RouteHost(x.pool), "/", noHeader)
		if err != nil {
			return "", nil
		}
		host, _, err := net.SplitHostPort(listed)
		if err != nil {
			return "", nil
		}
		if address := net.JoinHostPort(host, x.port); !slices.Contains(tried, address) {
			return address, x.loads.Begin(x.pool, listed)
		}
	}
	return "", nil
}
