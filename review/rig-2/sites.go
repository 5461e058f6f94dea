package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

// Classes of a small deployment: one is safe to repeat, one must never run twice. A try is given up after half of the class's 6 s.
var (
	lookup  = Class{Name: "consulter-solde", Method: "GET", TimeLeft: 3 * time.Second}
	payment = Class{Name: "payer-facture", Method: "POST", TimeLeft: 3 * time.Second}
)

// platformConfig returns the configuration file of a sidecar on the platform.
func platformConfig(listen, discovery, registryMode string, known List) string {
	class := func(name, repeat string, points float64) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "group": "all", "aimS": 2.5, "giveUpS": 6.0, "lateShare": 0.0, "points": points, "stream": false, "windowS": 5.0}
	}
	settings := map[string]any{
		"clients": map[string]any{"marksRetry": true}, "countedBy": "work", "family": "chain", "familyInfo": map[string]any{"passesDeadline": true},
		"deductions":     map[string]any{"handshake": 0.02, "lateFail": 0.029, "probe": 0.01, "waste": 0.02},
		"invariants":     map[string]any{"askWithinS": 10.0, "coldS": 22.0, "coldShare": 0.16, "graceToAnswerS": 0.02, "overloadFactor": 2.5, "stopSendingWithinS": 0.5, "tipAfterS": 1.5},
		"locality":       0,
		"me":             0,
		"peersTotal":     1,
		"objectiveMix":   map[string]any{"whole": 0.75, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.05},
		"overShareWorth": 0.1,
		"permissions": map[string]any{"cancel": true, "connIdleS": 30.0, "connectTimeoutS": 0.25, "cpuUsPerRequest": 0.0, "cpuUsPerS": 873884, "maxRetryAfterS": 2.0,
			"mostHeld": 34955, "parallelTries": false, "peers": false, "probes": true, "retryAfter": true, "sendCap": 4, "streamsPerConn": 1},
		"profiles":     []any{class(lookup.Name, "safe", 1), class(payment.Name, "unsafe", 3)},
		"projects":     []any{},
		"registryMode": registryMode, "resolutionS": 0.005, "shapes": []string{"portail-std"},
		"telemetry": map[string]any{"fields": []string{}, "via": "off"}, "tier": 0, "tiers": []string{"portail"}, "weights": "off", "zones": []string{"mtl-1"},
	}
	text, _ := json.MarshalIndent(map[string]any{"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512}, "known": known, "settings": settings}, "", "  ")
	return string(text) + "\n"
}

// startPlatform writes the configuration of a sidecar on the platform and starts it.
func (r *Rig) startPlatform(listen, discovery, registryMode string, known List) (p *Process, config string, err error) {
	run, err := Command("run")
	if err != nil {
		return nil, "", err
	}
	config = filepath.Join(r.Folder, "config.json")
	if err := write(config, platformConfig(listen, discovery, registryMode, known)); err != nil {
		return nil, "", err
	}
	p, err = r.Start("sidecar", run, "ROUTER_NAME=n1", "ROUTER_LISTEN="+listen, "ROUTER_DISCOVERY="+discovery, "ROUTER_CONFIG="+config)
	return p, config, err
}

// startPools writes the configuration of a sidecar with pools and starts it.
func (r *Rig) startPools(text string) (p *Process, config string, err error) {
	run, err := Command("run")
	if err != nil {
		return nil, "", err
	}
	config = filepath.Join(r.Folder, "pools.yaml")
	if err := write(config, text); err != nil {
		return nil, "", err
	}
	p, err = r.Start("sidecar", run+" --config "+config)
	return p, config, err
}

// instances starts n instances.
func (r *Rig) instances(n int, work time.Duration) (out []*Instance, err error) {
	for k := range n {
		i, err := r.NewInstance(fmt.Sprintf("s-%d", k+1), work)
		if err != nil {
			return nil, err
		}
		out = append(out, i)
	}
	return out, nil
}

// entry returns an instance's entry in a list.
func (i *Instance) entry(status string) Entry {
	return Entry{Name: i.Name, Address: i.Address, Zone: "mtl-1", Kind: "portail-std", Status: status, Weight: 1}
}

// entries returns the entries of instances that are ready.
func entries(list []*Instance) (out []Entry) {
	for _, i := range list {
		out = append(out, i.entry("Ready"))
	}
	return out
}

// sentAfterDrain records the requests that instances got later than they may, and returns the error of the case if there are any. told is
// when the sidecar was told, or counts as told; the limit is the 500 ms of the rule and the 50 ms that the protocol adds.
func (r *Rig) sentAfterDrain(told time.Duration, drained ...*Instance) error {
	limit, late, cut := told+550*time.Millisecond, 0, 0
	var names []string
	last := time.Duration(0)
	for _, i := range drained {
		n := 0
		for _, g := range i.Received() {
			if g.At > limit {
				r.LogAt(g.At, "LATE: %s at %s, %.3f s after the sidecar counts as told", g.ID, i.Name, (g.At - told).Seconds())
				n++
				last = max(last, g.At-told)
				if g.Cut {
					cut++
				}
			}
		}
		if late += n; n > 0 {
			names = append(names, i.Name)
		}
	}
	if late > 0 {
		return &Broken{fmt.Sprintf("%d requests were sent to draining instances (%s) later than 0.55 s after the sidecar counts as told, the last after %.2f s; %d of "+
			"these were in work when their instance ended", late, strings.Join(names, ", "), last.Seconds(), cut)}
	}
	return nil
}
