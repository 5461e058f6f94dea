package config

import (
	"fmt"
	"path/filepath"

	"kitewood/internal/share"
	"kitewood/internal/yamlfile"
)

// Load reads a configuration file, fills in what it leaves out and checks it. Its errors are yamlfile.Problems, joined
// where there are several.
func Load(path string) (*File, error) { return yamlfile.Load(path, Read) }

// Read reads the text of a configuration file as Load does.
func Read(path string, text []byte) (*File, error) {
	var f File
	tree, err := yamlfile.Read(path, text, &f)
	if err != nil {
		return nil, err
	}
	wrong := tree.NewProblemList()
	f.Complete(path, wrong.Add)
	for i := range f.Pools {
		switch m := f.Pools[i].Members; {
		case m.Etcd != nil || m.Merge != nil || m.Serve != "":
			wrong.Add(fmt.Sprintf("pools[%d].members", i), "etcd, merge and serve are kitewood-control's: a sidecar has discovery or file")
		case m.Discovery != "" && m.File != "":
			wrong.Add(fmt.Sprintf("pools[%d].members.file", i), "discovery is given, too: one of them is enough")
		}
		if r := f.Pools[i].Reports; r.Source == "orca" || r.Interval != 0 {
			wrong.Add(fmt.Sprintf("pools[%d].reports", i), "via: orca and every are kitewood-control's: a sidecar reads its own answers")
		}
	}
	if err := wrong.Err(); err != nil {
		return nil, err
	}
	return &f, nil
}

// Complete fills in what the file of a path leaves out, and names all that is wrong by its key.
func (f *File) Complete(path string, wrong func(key, format string, args ...any)) {
	f.fill(filepath.Dir(path))
	f.check(wrong)
}

// fill puts in what a file leaves out.
func (f *File) fill(folder string) {
	yamlfile.Default(&f.Limits.Cores, 1)
	yamlfile.Default(&f.Limits.MemoryMB, 64)
	yamlfile.Default(&f.Limits.Sockets, 1024)
	front, _ := f.budget()
	yamlfile.Default(&f.Limits.Operations, max(1, front*7/8))
	for i := range f.Pools {
		f.Pools[i].fill(folder)
	}
	f.fillShares()
}

func (p *Pool) fill(folder string) {
	if m := &p.Members; m.File != "" && !filepath.IsAbs(m.File) {
		m.File = filepath.Join(folder, m.File)
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		yamlfile.Default(&c.Worth, 1)
		if c.Methods == nil {
			c.Methods = []string{"POST"}
			if c.Effect == "safe" {
				c.Methods = []string{"GET"}
			}
		}
	}
	if c := p.Chain; c != nil {
		yamlfile.Default(&c.Service, p.Name)
		yamlfile.Default(&c.Hops, 8)
		yamlfile.Default(&c.Repeats, 4)
	}
	yamlfile.Default(&p.Sidecars.Of, 1)
	yamlfile.Default(&p.Attempts, 3)
	yamlfile.Default(&p.RetryAfter, yamlfile.Milliseconds(2000))
	yamlfile.Default(&p.Reports.Source, "none")
	yamlfile.Default(&p.Cold.Share, 0.2)
	yamlfile.Default(&p.Cold.Time, yamlfile.Milliseconds(20_000))
	yamlfile.Default(&p.Cold.Multiple, 2.5)
	yamlfile.Default(&p.Cold.Window, yamlfile.Milliseconds(1500))
	yamlfile.Default(&p.Connections.Idle, yamlfile.Milliseconds(30_000))
	yamlfile.Default(&p.Connections.Timeout, yamlfile.Milliseconds(250))
}

// Whole is a limit that pools share, and each pool's share of it.
type Whole struct {
	Key   string // as in shares
	Units int
	Of    func(*Pool) *Share
}

// Parts are the pools' shares of a limit, by name.
func (w *Whole) Parts(f *File) map[string]share.Share {
	out := make(map[string]share.Share, len(f.Pools))
	for i := range f.Pools {
		out[f.Pools[i].Name] = share.Share(*w.Of(&f.Pools[i]))
	}
	return out
}

// Wholes are the limits that pools share.
func (f *File) Wholes() []Whole {
	_, connections := f.budget()
	return []Whole{
		{"operations", f.Limits.Operations, func(p *Pool) *Share { return &p.Shares.Operations }},
		{"parked", (f.Limits.Operations + 1) / 2, func(p *Pool) *Share { return &p.Shares.Parked }},
		{"connections", connections, func(p *Pool) *Share { return &p.Shares.Connections }},
		{"memory_kb", f.Limits.MemoryMB << 10 / 4, func(p *Pool) *Share { return &p.Shares.MemoryKB }},
	}
}

// fillShares gives the pools that name no guaranteed part equal parts of half of what the others leave.
func (f *File) fillShares() {
	for _, w := range f.Wholes() {
		left, open := w.Units, 0
		for i := range f.Pools {
			s := w.Of(&f.Pools[i])
			if left -= s.Guaranteed; s.Guaranteed == 0 {
				open++
			}
		}
		for i := range f.Pools {
			if s := w.Of(&f.Pools[i]); s.Guaranteed == 0 {
				s.Guaranteed = max(1, left/2/open)
				if s.Max > 0 {
					s.Guaranteed = min(s.Guaranteed, s.Max)
				}
			}
		}
	}
}
