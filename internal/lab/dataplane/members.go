package dataplane

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// picker selects endpoints.
type picker interface {
	// ready reports whether there is an endpoint to select.
	ready() bool
	// shouldDrop reports whether to reject the next request.
	shouldDrop() bool
	// pick returns the address of an endpoint that is not among those tried, "" if there is none. The caller calls done with the
	// outcome of the attempt and the load report of its response.
	pick(tried []string) (address string, done func(ok bool, load map[string]float64))
}

// discoveryPicker selects among the endpoints in the platform's discovery, by a policy that uses no load reports.
type discoveryPicker struct {
	policy string

	mu             sync.Mutex
	rng            *rand.Rand
	index          int64
	endpoints      map[string]endpoint
	readyAddresses []string       // addresses of ready endpoints, sorted by name
	inFlight       map[string]int // own requests in flight, by address
	next           int
}

func newDiscoveryPicker(known endpointList, policy string, rng *rand.Rand) *discoveryPicker {
	d := &discoveryPicker{policy: policy, rng: rng, endpoints: map[string]endpoint{}, inFlight: map[string]int{}, next: rng.IntN(1000)}
	known.Snapshot = true
	d.update(known)
	return d
}

// update applies an endpoint list or changes to it.
func (d *discoveryPicker) update(l endpointList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.Snapshot {
		clear(d.endpoints)
	}
	for _, e := range l.Endpoints {
		d.endpoints[e.Name] = e
	}
	d.index = l.Index
	var names []string
	for name, e := range d.endpoints {
		if e.Status == "Ready" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	d.readyAddresses = d.readyAddresses[:0:0]
	for _, name := range names {
		d.readyAddresses = append(d.readyAddresses, d.endpoints[name].Address)
	}
}

// watchTimeout ends a watch on which no line arrives; discovery sends one every 2 s.
const watchTimeout = 5 * time.Second

// run watches discovery until the context ends. It opens a new watch 0.2 to 1 s after one has ended.
func (d *discoveryPicker) run(ctx context.Context, address string, log *slog.Logger) {
	for ctx.Err() == nil {
		err := d.watch(ctx, address)
		log.Debug("the watch of discovery has ended", "error", err)
		d.mu.Lock()
		wait := time.Duration(200+d.rng.IntN(800)) * time.Millisecond
		d.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// watch applies the updates of one watch of discovery until it ends.
func (d *discoveryPicker) watch(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(watchTimeout, cancel)
	defer timeout.Stop()
	d.mu.Lock()
	since := d.index
	d.mu.Unlock()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/registry/instances?follow=1&since=%d", address, since), nil)
	if err != nil {
		return err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery responded with %s", r.Status)
	}
	in := bufio.NewScanner(r.Body)
	in.Buffer(nil, 4<<20)
	for in.Scan() {
		timeout.Reset(watchTimeout)
		if len(in.Bytes()) == 0 {
			continue
		}
		var l endpointList
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			return err
		}
		d.update(l)
	}
	return in.Err()
}

func (d *discoveryPicker) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.readyAddresses) > 0
}

func (d *discoveryPicker) shouldDrop() bool { return false }

func (d *discoveryPicker) pick(tried []string) (string, func(bool, map[string]float64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	untried := slices.DeleteFunc(slices.Clone(d.readyAddresses), func(a string) bool { return slices.Contains(tried, a) })
	if len(untried) == 0 {
		return "", nil
	}
	d.next++
	address := untried[d.next%len(untried)]
	if d.policy == LeastRequest {
		a, b := untried[d.rng.IntN(len(untried))], untried[d.rng.IntN(len(untried))]
		if address = a; d.inFlight[b] < d.inFlight[a] {
			address = b
		}
	}
	d.inFlight[address]++
	return address, func(bool, map[string]float64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.inFlight[address]--; d.inFlight[address] == 0 {
			delete(d.inFlight, address)
		}
	}
}
