package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/model"
	"kitewood/internal/lab/scenario"
)

// registry is discovery on its sockets: one list for each tier, one address for each sidecar, so that it is known who
// was told what. Its owner has the models.
type registry struct {
	w   *World
	rng *rand.Rand
	*owner

	lists   []*model.Discovery // by tier
	watches map[*watch]bool
	known   map[string]map[string]model.Member // what each sidecar was told last
	place   int                                // counts moves
	server  *http.Server
	doors   map[string]net.Listener
	asking  []*sidecar // all that have an address here
	off     bool
}

// watch is one sidecar's standing call.
type watch struct {
	sidecar *sidecar
	updates chan model.Update
	end     chan struct{}
	broken  string // how it was broken, of scenario's ways; of the owner
}

func newRegistry(w *World) *registry {
	r := &registry{w: w, rng: model.NewRand(w.seed, 2), watches: map[*watch]bool{}, known: map[string]map[string]model.Member{}}
	r.renew()
	r.serve()
	r.owner = newOwner(r.wake)
	return r
}

// renew makes the lists of the machines that are there from the start.
func (r *registry) renew() {
	d := &r.w.s.Discovery
	r.lists = nil
	for t := range r.w.s.Tiers {
		var list []model.Member
		for _, m := range r.w.plan.Machines {
			if m.Tier == t {
				list = append(list, model.Member{Name: m.Name, Kind: m.Kind, Group: m.AddressNumber, Status: model.Ready})
			}
		}
		r.lists = append(r.lists, model.NewDiscovery(model.DiscoveryConfig{Period: d.PublishPeriod.D(), CallsPerSecond: d.CallsPerSecond,
			Timeout: d.Timeout.D(), KeptVersions: 64, RejectWhenFull: d.RejectWhenFull, ServeTimedOut: d.ServeTimedOut}, list))
	}
}

// wake publishes what is due.
func (r *registry) wake() time.Duration {
	wait := time.Duration(-1)
	for t, d := range r.lists {
		now := r.w.book.Now()
		if u, any := d.Advance(now); any {
			for _, m := range u.Members {
				r.w.book.Add(ledger.Entry{Kind: ledger.Notified, Tier: t, Instance: m.Name, Outcome: string(m.Status), Since: m.StartedAt})
			}
			for w := range r.watches {
				if w.sidecar.tier == t {
					select {
					case w.updates <- u:
					default: // it reads nothing: it may come again for the whole list
						close(w.end)
						delete(r.watches, w)
					}
				}
			}
		}
		if next, any := d.NextPublish(); any {
			if in := max(0, next-r.w.book.Now()); wait < 0 || in < wait {
				wait = in
			}
		}
	}
	return wait
}

// change tells discovery of an instance; it sees it after about so long.
func (r *registry) change(i *instance, status model.Status, after time.Duration) {
	var since time.Duration
	i.do(func() { since = i.since })
	r.seen(i.machine, status, since, after)
}

// seen is change for whoever is the instance's owner already.
func (r *registry) seen(m scenario.Machine, status model.Status, since, after time.Duration) {
	r.post(func() {
		r.lists[m.Tier].ScheduleChange(r.w.book.Now()+model.Jitter(r.rng, after), model.Member{Name: m.Name, Kind: m.Kind,
			Group: m.AddressNumber, Status: status, StartedAt: since})
	})
}

// admit opens the address at which a sidecar finds discovery.
func (r *registry) admit(s *sidecar) error {
	var err error
	r.do(func() {
		r.asking = append(r.asking, s)
		if !r.off {
			err = r.listen(s)
		}
	})
	return err
}

// serve makes the server of the present place, for all that have an address there.
func (r *registry) serve() {
	r.server = &http.Server{Handler: http.HandlerFunc(r.answer)}
	r.doors = map[string]net.Listener{}
	for _, s := range r.asking {
		if err := r.listen(s); err != nil {
			r.w.fail(err)
		}
	}
}

func (r *registry) listen(s *sidecar) error {
	if r.doors[s.name] != nil {
		return nil
	}
	ln, err := net.Listen("tcp", r.w.block.discovery(r.place, s.tier, s.index))
	if err != nil {
		return err
	}
	r.doors[s.name] = ln
	if r.w.paths != nil {
		if err := r.w.paths.discovery(s, r.place); err != nil {
			return err
		}
	}
	server := r.server
	r.w.tasks.Go(func() { server.Serve(ln) })
	return nil
}

// address is where a sidecar finds discovery now.
func (r *registry) address(s *sidecar) string {
	out := ""
	r.do(func() {
		if out = r.w.block.discovery(r.place, s.tier, s.index); r.w.paths != nil {
			out = r.w.block.relayedDiscovery(r.place, s.tier, s.index)
		}
	})
	return out
}

// move opens discovery at a new place. The old one takes no new connection, and closes the open ones after 1.5 s.
func (r *registry) move() {
	r.do(func() {
		old, doors := r.server, r.doors
		for _, ln := range doors {
			ln.Close()
		}
		if r.place++; !r.off {
			r.serve()
		}
		time.AfterFunc(1500*time.Millisecond, func() { old.Close() })
	})
}

// breakWatches breaks the watches of a sidecar.
func (r *registry) breakWatches(s *sidecar, way string) {
	r.do(func() {
		for w := range r.watches {
			if w.sidecar == s && w.broken == "" {
				w.broken = way
				close(w.end)
				delete(r.watches, w)
			}
		}
	})
}

// slow has calls take so many times their turn.
func (r *registry) slow(factor float64) {
	r.do(func() {
		for _, list := range r.lists {
			list.SetSlowdown(factor)
		}
	})
}

// down takes discovery off; its watches end.
func (r *registry) down() {
	r.w.book.Add(ledger.Entry{Kind: ledger.DiscoveryOffline})
	r.do(func() {
		r.off = true
		r.server.Close()
	})
}

// up brings it back at the same place.
func (r *registry) up() {
	r.do(func() {
		r.off = false
		r.serve()
	})
	r.w.book.Add(ledger.Entry{Kind: ledger.DiscoveryOnline})
}

func (r *registry) close() {
	r.do(func() { r.server.Close() })
	r.stop()
}

// answer serves a call of a sidecar, which is known by the address it called.
func (r *registry) answer(w http.ResponseWriter, q *http.Request) {
	local := q.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	if q.URL.Path != "/registry/instances" {
		http.NotFound(w, q)
		return
	}
	var s *sidecar
	var at time.Duration
	served := false
	r.do(func() {
		for _, o := range r.asking {
			for place := range places { // the last ones stand for a while
				if local == r.w.block.discovery(place, o.tier, o.index) {
					s = o
				}
			}
		}
		if s != nil {
			at, served = r.lists[s.tier].Call(r.w.book.Now())
		}
	})
	if s == nil {
		http.Error(w, "nobody's address", http.StatusServiceUnavailable)
		return
	}
	r.w.book.Add(ledger.Entry{Kind: ledger.DiscoveryCalled, Sidecar: s.name, Tier: s.tier, Outcome: map[bool]string{true: "served", false: "busy"}[served]})
	if wait := at - r.w.book.Now(); wait > 0 {
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			return
		}
	}
	if !served {
		http.Error(w, "discovery is busy", http.StatusServiceUnavailable)
		return
	}
	since, err := strconv.ParseInt(q.FormValue("since"), 10, 64)
	if err != nil {
		since = -1
	}
	follow := q.FormValue("follow") == "1"
	watch := &watch{sidecar: s, updates: make(chan model.Update, 64), end: make(chan struct{})}
	var first model.Update
	r.do(func() {
		if first = r.lists[s.tier].ChangesSince(since); !follow {
			first = r.lists[s.tier].ChangesSince(-1)
		} else {
			r.watches[watch] = true
		}
	})
	defer r.post(func() { delete(r.watches, watch) })
	if r.tell(w, s, first) != nil || !follow {
		return
	}
	beat := time.NewTicker(r.w.s.Discovery.HeartbeatPeriod.D())
	defer beat.Stop()
	for {
		select {
		case u := <-watch.updates:
			var spread time.Duration
			r.do(func() { spread = model.Jitter(r.rng, r.w.s.Discovery.DelayJitter.D()) })
			select {
			case <-time.After(spread):
			case <-q.Context().Done():
				return
			}
			if r.tell(w, s, u) != nil {
				return
			}
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		case <-watch.end:
			r.breakOff(watch, q)
			return
		case <-q.Context().Done():
			return
		}
	}
}

// breakOff ends a watch in the way in which it was broken.
func (r *registry) breakOff(w *watch, q *http.Request) {
	way := ""
	r.do(func() { way = w.broken })
	switch way {
	case scenario.WatchesReset:
		panic(http.ErrAbortHandler)
	case scenario.WatchesSilent:
		<-q.Context().Done()
	}
}

// tell writes an update to a sidecar and enters what it was told.
func (r *registry) tell(w http.ResponseWriter, s *sidecar, u model.Update) error {
	text, err := json.Marshal(r.list(s, u))
	if err != nil {
		return err
	}
	if _, err := w.Write(append(text, '\n')); err != nil {
		return err
	}
	f, ok := w.(http.Flusher)
	if !ok {
		return errors.New("no stream")
	}
	f.Flush()
	r.do(func() { r.told(s, u) })
	return nil
}

// told enters what a sidecar was told. What a whole list leaves out is gone.
func (r *registry) told(s *sidecar, u model.Update) {
	known := r.known[s.name]
	if known == nil {
		known = map[string]model.Member{}
		r.known[s.name] = known
	}
	names := r.w.hear(s)
	add := func(m model.Member) {
		if m.Status == model.Gone {
			delete(known, m.Name)
		} else {
			known[m.Name] = m
		}
		for _, name := range names {
			r.w.book.Add(ledger.Entry{Kind: ledger.Notified, Tier: s.tier, Sidecar: name, Instance: m.Name,
				Outcome: string(m.Status), Since: m.StartedAt})
		}
	}
	in := map[string]bool{}
	for _, m := range u.Members {
		in[m.Name] = true
		add(m)
	}
	if u.Full {
		for name, m := range known {
			if !in[name] {
				m.Status = model.Gone
				add(m)
			}
		}
	}
}

// endpoint is an entry of the list in the protocol's form.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

type poolList struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

func (r *registry) list(s *sidecar, u model.Update) poolList {
	out := poolList{Index: u.Index, Snapshot: u.Full, Endpoints: []endpoint{}}
	for _, m := range u.Members {
		e := endpoint{Name: m.Name, Zone: r.w.s.Zone, Type: m.Kind, Group: m.Group, Status: string(m.Status), Weight: 1,
			Address: fmt.Sprintf("%s:%d", r.w.block.instance(s.tier, m.Group), instancePort+s.index)}
		if r.w.paths != nil {
			e.Address = r.w.block.relayed(s.tier, m.Group, s.index)
		}
		if m.StartedAt > 0 {
			e.SinceMS = r.w.book.Start().Add(m.StartedAt).UnixMilli()
		}
		out.Endpoints = append(out.Endpoints, e)
	}
	return out
}

// cached is the list as a sidecar last had it; the present one for a sidecar that is new.
func (r *registry) cached(s *sidecar) poolList {
	var out poolList
	s.mu.Lock()
	forgets := s.forgets
	s.mu.Unlock()
	if forgets {
		return poolList{Endpoints: []endpoint{}}
	}
	r.do(func() {
		u := r.lists[s.tier].ChangesSince(-1)
		u.Full = true
		if known := r.known[s.name]; known != nil {
			u.Members = u.Members[:0:0]
			for _, m := range known {
				u.Members = append(u.Members, m)
			}
		} else {
			r.told(s, u)
		}
		out = r.list(s, u)
	})
	return out
}
