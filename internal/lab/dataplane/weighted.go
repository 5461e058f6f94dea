package dataplane

import (
	"context"
	"errors"
	"net"
	"slices"

	"kitewood/internal/lab/proxy"
)

// Host is what a proxy of a pool asks the control service's routes for.
func RouteHost(pool string) string { return pool + ".lab" }

// weighted are the destinations that a control service hands out over xDS.
type xdsPicker struct {
	pool  string
	table *proxy.Table
	loads *proxy.LoadTracker
	port  string // at which this proxy reaches instances
}

// newWeighted follows a control service.
func newXDSPicker(ctx context.Context, c config, o Options) (*xdsPicker, error) {
	if len(c.Known.Endpoints) == 0 {
		return nil, errors.New("the known list is empty: it tells the port at which this proxy reaches instances")
	}
	// The lab knows proxies by the ports that they send to, one for each. The control service's list has its own.
	_, port, err := net.SplitHostPort(c.Known.Endpoints[0].Address)
	if err != nil {
		return nil, err
	}
	w := &xdsPicker{pool: o.Pool, table: proxy.NewTable(), loads: proxy.NewLoadTracker(), port: port}
	w.table.InFlight = w.loads.InFlight
	client := &proxy.Client{NodeID: c.Name, Servers: []string{o.Control}, Delta: true, Table: w.table, LoadTracker: w.loads, Log: o.Log}
	go client.Run(ctx)
	return w, nil
}

func (w *xdsPicker) ready() bool { return w.table.Ready(w.pool) }

func (w *xdsPicker) shouldDrop() bool { return w.table.ShouldDrop(w.pool) }

func (w *xdsPicker) pick(tried []string) (string, func(bool, map[string]float64)) {
	none := func(string) string { return "" }
	for range 2 * (len(tried) + 1) { // the rotation moves on: another comes, if there is one
		named, err := w.table.Pick(RouteHost(w.pool), "/", none)
		if err != nil {
			return "", nil
		}
		host, _, err := net.SplitHostPort(named)
		if err != nil {
			return "", nil
		}
		if at := net.JoinHostPort(host, w.port); !slices.Contains(tried, at) {
			return at, w.loads.Begin(w.pool, named)
		}
	}
	return "", nil
}
