package control

import (
	"context"
	"slices"
	"time"

	"kitewood/internal/config"
	"kitewood/internal/loads"
	"kitewood/internal/orca"
)

// gather is how long what destinations tell of themselves waits for that of others: a pool's readings are merged once for all.
const gather = 100 * time.Millisecond

// turns is the number of groups that a pool's destinations are probed in, one after the other within the interval.
const turns = 8

// asks starts the ways in which the service asks a pool's destinations itself.
func (s *Service) asks(p *pool) {
	every := p.conf.Reports.Interval.D()
	switch {
	case p.conf.Reports.Source == viaORCA:
		p.orca = orca.New(s.ctx, every, s.file.SeedOf(p.conf.Name), func(address string, r orca.Report) { s.reports.own(p, address, r) },
			s.log.With("pool", p.conf.Name))
	case p.conf.Reports.Source == "probes" && p.conf.Probes:
		go s.probe(s.ctx, p, every/turns)
	}
}

const viaORCA = "orca"

// fillReports fills in what a pool's reports leave out.
func fillReports(r *config.Reports) {
	if r.Interval == 0 && r.Source != "none" {
		r.Interval = config.Duration(time.Second)
	}
}

// own takes what a destination told of itself. The pool learns of it within gather.
func (r *reports) own(p *pool, address string, x orca.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads.RecordEndpointReport(r.service.clock.Now(), p.conf.Name, address, p.conf.Reports.Interval.D(), loads.EndpointReport{QPS: x.QPS, EPS: x.EPS, Metrics: x.Metrics})
	if r.waiting[p] == nil {
		r.waiting[p] = map[string]bool{}
		time.AfterFunc(gather, func() { r.flush(p) })
	}
	r.waiting[p][address] = true
}

// flush has a pool learn what its destinations told.
func (r *reports) flush(p *pool) {
	r.mu.Lock()
	told := r.waiting[p]
	delete(r.waiting, p)
	r.mu.Unlock()
	observe(p, told, r.merged(p))
}

// merged is what is known of a pool's destinations now.
func (r *reports) merged(p *pool) map[string]loads.EndpointLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loads.Merge(r.service.clock.Now(), p.conf.Name)
}

// probe asks those destinations of a pool for their load of which neither they nor proxies tell, until the context ends.
func (s *Service) probe(ctx context.Context, p *pool, each time.Duration) {
	tick := time.NewTicker(max(each, time.Millisecond))
	defer tick.Stop()
	var silent []string
	for turn := 0; ; turn = (turn + 1) % turns {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if turn == 0 {
			merged := s.reports.merged(p)
			silent = slices.DeleteFunc(slices.Clone(*p.open.Load()), func(a string) bool { return len(merged[a].Metrics) > 0 })
		}
		if some := silent[turn*len(silent)/turns : (turn+1)*len(silent)/turns]; len(some) > 0 {
			p.loop.Probe(some)
		}
	}
}
