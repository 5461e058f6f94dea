package config

import (
	"fmt"
	"path/filepath"

	"kitewood/internal/share"
	"kitewood/internal/yamlfile"
)

// Load reads a configuration file, sets the defaults and checks it. Invalid settings are reported as *yamlfile.Problem errors,
// joined if there are several.
func Load(path string) (*File, error) { return yamlfile.Load(path, Read) }

// Read parses the text of a configuration file like Load; path is the name of the file.
func Read(path string, text []byte) (*File, error) {
	var f File
	tree, err := yamlfile.Read(path, text, &f)
	if err != nil {
		return nil, err
	}
	problems := tree.NewProblemList()
	f.Complete(path, problems.Add)
	for i := range f.Pools {
		switch m := f.Pools[i].Members; {
		case m.Etcd != nil || m.Merge != nil || m.Serve != "":
			problems.Add(fmt.Sprintf("pools[%d].members", i), "etcd, merge and serve are for kitewood-control only: a sidecar has discovery or file")
		case m.Discovery != "" && m.File != "":
			problems.Add(fmt.Sprintf("pools[%d].members.file", i), "only one of file and discovery is allowed")
		}
		if r := f.Pools[i].Reports; r.Source == "orca" || r.Interval != 0 {
			problems.Add(fmt.Sprintf("pools[%d].reports", i), "via: orca and every are for kitewood-control only: a sidecar reads the reports in its own responses")
		}
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return &f, nil
}

// Complete sets the defaults of a configuration that was read from path and reports every invalid setting by its key.
func (f *File) Complete(path string, report func(key, format string, args ...any)) {
	f.setDefaults(filepath.Dir(path))
	f.check(report)
}

// setDefaults sets the settings that the file leaves out. Relative paths start at folder.
func (f *File) setDefaults(folder string) {
	yamlfile.Default(&f.Limits.Cores, 1)
	yamlfile.Default(&f.Limits.MemoryMB, 64)
	yamlfile.Default(&f.Limits.Sockets, 1024)
	clients, _ := f.connectionLimits()
	yamlfile.Default(&f.Limits.Requests, max(1, clients*7/8))
	for i := range f.Pools {
		f.Pools[i].setDefaults(folder)
	}
	f.setDefaultShares()
}

// setDefaults sets the settings of a pool that the file leaves out.
func (p *Pool) setDefaults(folder string) {
	if m := &p.Members; m.File != "" && !filepath.IsAbs(m.File) {
		m.File = filepath.Join(folder, m.File)
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		yamlfile.Default(&c.Utility, 1)
		if c.Methods == nil {
			c.Methods = []string{"POST"}
			if c.Effect == "safe" {
				c.Methods = []string{"GET"}
			}
		}
	}
	if c := p.Chain; c != nil {
		yamlfile.Default(&c.Service, p.Name)
		yamlfile.Default(&c.MaxHops, 8)
		yamlfile.Default(&c.MaxRetries, 4)
	}
	yamlfile.Default(&p.Sidecars.Count, 1)
	yamlfile.Default(&p.Attempts, 3)
	yamlfile.Default(&p.RetryAfter, yamlfile.Milliseconds(2000))
	yamlfile.Default(&p.Reports.Source, "none")
	yamlfile.Default(&p.SlowStart.Share, 0.2)
	yamlfile.Default(&p.SlowStart.Time, yamlfile.Milliseconds(20_000))
	yamlfile.Default(&p.SlowStart.OverloadMultiple, 2.5)
	yamlfile.Default(&p.SlowStart.OverloadWindow, yamlfile.Milliseconds(1500))
	yamlfile.Default(&p.Connections.Idle, yamlfile.Milliseconds(30_000))
	yamlfile.Default(&p.Connections.Timeout, yamlfile.Milliseconds(250))
}

// SharedLimit is a limit that the pools share.
type SharedLimit struct {
	Key     string // in the shares setting
	Units   int    // size of the limit
	ShareOf func(*Pool) *Share
}

// PoolShares returns the pools' shares of the limit by pool name.
func (l *SharedLimit) PoolShares(f *File) map[string]share.Share {
	shares := make(map[string]share.Share, len(f.Pools))
	for i := range f.Pools {
		shares[f.Pools[i].Name] = share.Share(*l.ShareOf(&f.Pools[i]))
	}
	return shares
}

// SharedLimits returns the limits that the pools share.
func (f *File) SharedLimits() []SharedLimit {
	_, connections := f.connectionLimits()
	return []SharedLimit{
		{"operations", f.Limits.Requests, func(p *Pool) *Share { return &p.Shares.Requests }},
		{"parked", (f.Limits.Requests + 1) / 2, func(p *Pool) *Share { return &p.Shares.Queued }},
		{"connections", connections, func(p *Pool) *Share { return &p.Shares.Connections }},
		{"memory_kb", f.Limits.MemoryMB << 10 / 4, func(p *Pool) *Share { return &p.Shares.MemoryKB }},
	}
}

// setDefaultShares guarantees the pools that name no guaranteed part equal parts of half of the units that the other pools
// leave.
func (f *File) setDefaultShares() {
	for _, l := range f.SharedLimits() {
		left, unset := l.Units, 0
		for i := range f.Pools {
			s := l.ShareOf(&f.Pools[i])
			if left -= s.Guaranteed; s.Guaranteed == 0 {
				unset++
			}
		}
		for i := range f.Pools {
			if s := l.ShareOf(&f.Pools[i]); s.Guaranteed == 0 {
				s.Guaranteed = max(1, left/2/unset)
				if s.Max > 0 {
					s.Guaranteed = min(s.Guaranteed, s.Max)
				}
			}
		}
	}
}
