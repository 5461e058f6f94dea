package control

import (
	"context"
	"slices"
	"time"

	"kitewood/internal/config"
	"kitewood/internal/loads"
	"kitewood/internal/orca"
)

// mergeDelay is how long a load report of an endpoint waits for those of others, so that a pool's reports are merged once for
// all of them.
const mergeDelay = 100 * time.Millisecond

// probeGroups is the number of groups that a pool's endpoints are split into for probing. The groups are probed one after the
// other within the report interval.
const probeGroups = 8

// startLoadQueries starts the service's own queries for the load of a pool's endpoints: out-of-band ORCA or probes.
func (s *Service) startLoadQueries(p *pool) {
	interval := p.conf.Reports.Interval.D()
	switch {
	case p.conf.Reports.Source == reportSourceORCA:
		p.orca = orca.New(s.ctx, interval, s.file.SeedOf(p.conf.Name), func(address string, r orca.Report) { s.reports.recordEndpointReport(p, address, r) },
			s.log.With("pool", p.conf.Name))
	case p.conf.Reports.Source == "probes" && p.conf.Probes:
		go s.probeUnreported(s.ctx, p, interval/probeGroups)
	}
}

// reportSourceORCA is the setting that has endpoints report their load out of band over ORCA.
const reportSourceORCA = "orca"

// completeReports fills in the default report interval.
func completeReports(r *config.Reports) {
	if r.Interval == 0 && r.Source != "none" {
		r.Interval = config.Duration(time.Second)
	}
}

// recordEndpointReport stores an endpoint's load report. The pool receives it within mergeDelay.
func (r *reports) recordEndpointReport(p *pool, address string, x orca.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads.RecordEndpointReport(r.service.clock.Now(), p.conf.Name, address, p.conf.Reports.Interval.D(), loads.EndpointReport{QPS: x.QPS, EPS: x.EPS, Metrics: x.Metrics})
	if r.pending[p] == nil {
		r.pending[p] = map[string]bool{}
		time.AfterFunc(mergeDelay, func() { r.flush(p) })
	}
	r.pending[p][address] = true
}

// flush passes the pending reports of a pool's endpoints to the pool.
func (r *reports) flush(p *pool) {
	r.mu.Lock()
	pending := r.pending[p]
	delete(r.pending, p)
	r.mu.Unlock()
	observe(p, pending, r.merge(p))
}

// merge returns the current loads of a pool's endpoints, by address, merged from all reports.
func (r *reports) merge(p *pool) map[string]loads.EndpointLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loads.Merge(r.service.clock.Now(), p.conf.Name)
}

// probeUnreported probes those endpoints of a pool on whose load neither they nor proxies report, until the context ends.
func (s *Service) probeUnreported(ctx context.Context, p *pool, groupInterval time.Duration) {
	tick := time.NewTicker(max(groupInterval, time.Millisecond))
	defer tick.Stop()
	var unreported []string
	for group := 0; ; group = (group + 1) % probeGroups {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if group == 0 {
			merged := s.reports.merge(p)
			unreported = slices.DeleteFunc(slices.Clone(*p.readyAddrs.Load()), func(addr string) bool { return len(merged[addr].Metrics) > 0 })
		}
		if batch := unreported[group*len(unreported)/probeGroups : (group+1)*len(unreported)/probeGroups]; len(batch) > 0 {
			p.loop.Probe(batch)
		}
	}
}
