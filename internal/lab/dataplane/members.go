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

// picker chooses destinations.
type picker interface {
	// ready tells whether there is anything to choose from.
	ready() bool
	// drops tells whether the next request is to be refused.
	shouldDrop() bool
	// pick finds a destination that is not among those tried, "" if there is none. end is told how it went.
	pick(tried []string) (address string, end func(ok bool, load map[string]float64))
}

// members are the destinations that the platform's discovery names, chosen by a policy without knowledge of load.
type discoveryPicker struct {
	policy string

	mu             sync.Mutex
	rng            *rand.Rand
	index          int64
	endpoints      map[string]endpoint
	readyAddresses []string       // addresses that take new requests, in the order of names
	inFlight       map[string]int // own requests, by address
	next           int
}

func newDiscoveryPicker(known endpointList, policy string, rng *rand.Rand) *discoveryPicker {
	m := &discoveryPicker{policy: policy, rng: rng, endpoints: map[string]endpoint{}, inFlight: map[string]int{}, next: rng.IntN(1000)}
	known.Snapshot = true
	m.update(known)
	return m
}

// take takes a list or what changed.
func (m *discoveryPicker) update(l endpointList) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.Snapshot {
		clear(m.endpoints)
	}
	for _, e := range l.Endpoints {
		m.endpoints[e.Name] = e
	}
	m.index = l.Index
	var names []string
	for name, e := range m.endpoints {
		if e.Status == "Ready" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	m.readyAddresses = m.readyAddresses[:0:0]
	for _, name := range names {
		m.readyAddresses = append(m.readyAddresses, m.endpoints[name].Address)
	}
}

// silence is after how long without a line a watch is dead: discovery sends one every 2 s.
const watchTimeout = 5 * time.Second

// follow watches discovery until the context ends.
func (m *discoveryPicker) run(ctx context.Context, address string, log *slog.Logger) {
	for ctx.Err() == nil {
		err := m.watch(ctx, address)
		log.Debug("the watch of discovery has ended", "error", err)
		m.mu.Lock()
		wait := time.Duration(200+m.rng.IntN(800)) * time.Millisecond
		m.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (m *discoveryPicker) watch(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dead := time.AfterFunc(watchTimeout, cancel)
	defer dead.Stop()
	m.mu.Lock()
	since := m.index
	m.mu.Unlock()
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
		return fmt.Errorf("discovery answers %s", r.Status)
	}
	in := bufio.NewScanner(r.Body)
	in.Buffer(nil, 4<<20)
	for in.Scan() {
		dead.Reset(watchTimeout)
		if len(in.Bytes()) == 0 {
			continue
		}
		var l endpointList
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			return err
		}
		m.update(l)
	}
	return in.Err()
}

func (m *discoveryPicker) ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.readyAddresses) > 0
}

func (m *discoveryPicker) shouldDrop() bool { return false }

func (m *discoveryPicker) pick(tried []string) (string, func(bool, map[string]float64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := slices.DeleteFunc(slices.Clone(m.readyAddresses), func(a string) bool { return slices.Contains(tried, a) })
	if len(left) == 0 {
		return "", nil
	}
	m.next++
	at := left[m.next%len(left)]
	if m.policy == LeastRequest {
		a, b := left[m.rng.IntN(len(left))], left[m.rng.IntN(len(left))]
		if at = a; m.inFlight[b] < m.inFlight[a] {
			at = b
		}
	}
	m.inFlight[at]++
	return at, func(bool, map[string]float64) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.inFlight[at]--; m.inFlight[at] == 0 {
			delete(m.inFlight, at)
		}
	}
}
