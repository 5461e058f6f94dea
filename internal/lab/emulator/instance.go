package emulator

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/lab/model"
	"kitewood/internal/lab/relay"
	"kitewood/internal/lab/scenario"
	"kitewood/internal/protocol"
)

// instance is one emulated instance on its sockets. Its owner has the model; each connection has a reader, which sees
// requests and the connection's end whatever state the instance is in.
type instance struct {
	w       *World
	machine scenario.Machine
	rng     *rand.Rand
	*owner

	// Owned by the owner.
	model     *model.Instance
	since     time.Duration // of its start; 0 for long ago
	copies    map[uint64]*attempt
	listeners map[string]*door // by sidecar
	conns     map[*iconn]bool
	silent    bool
	stopped   bool
	choked    bool
	beside    *sidecar // through which it calls the tier below; nil in the last tier
	misled    bool     // its calls go to the first tier
}

// door is the listener that one sidecar reaches the instance by.
type door struct {
	sidecar *sidecar
	ln      *net.TCPListener
	block   *relay.AcceptBlocker
}

// close ends the listener, and what keeps connections from coming up.
func (d *door) close() {
	if d.block != nil {
		d.block.Release()
		d.block = nil
	}
	if d.ln != nil {
		d.ln.Close()
	}
}

// attempt is a request that the instance has.
type attempt struct {
	request  model.Request
	conn     *iconn
	id       string
	class    int
	work     float64 // of the whole client's request
	sidecar  string
	tierWork float64
	chain    string // the word that its calls carry on
	declined declined
}

// declined is what a call was declined with, which its request is answered with.
type declined struct {
	status int
	after  string // Retry-After
}

// iconn is a connection to an instance.
type iconn struct {
	net.Conn
	i       *instance
	sidecar string
	to      *sidecar
	write   sync.Mutex
	counted bool          // the model has let it in
	behind  bool          // its sidecar has ended its side, which has not come here: a broken path holds it
	broken  time.Duration // when the instance reset it, 0 while it has not
}

func newInstance(w *World, m scenario.Machine, cold bool, beside *sidecar) *instance {
	i := &instance{w: w, machine: m, rng: model.NewRand(w.seed, hash(m.Name)), copies: map[uint64]*attempt{},
		listeners: map[string]*door{}, conns: map[*iconn]bool{}, beside: beside}
	i.live(w.book.Now(), cold)
	i.owner = newOwner(i.wake)
	return i
}

// live begins a life of the process.
func (i *instance) live(now time.Duration, cold bool) {
	note := "warm"
	if i.since = 0; cold {
		i.since, note = now, "cold"
	}
	i.model = model.NewInstance(i.machine.Config, i.rng, now, cold)
	i.w.book.Add(ledger.Entry{At: max(now, 1), Kind: ledger.InstanceStarted, Tier: i.machine.Tier, Instance: i.machine.Name, Since: i.since, Note: note,
		Capacity: float64(i.machine.Config.Cores) * i.machine.Config.Speed})
}

// renew begins the life anew as the run's clock starts, with the connections that stand.
func (i *instance) renew() {
	i.live(0, false)
	for c := range i.conns {
		c.counted = i.model.ConnectionOpened(0)
	}
}

// wake lets the model's time pass and does what it wants done.
func (i *instance) wake() time.Duration {
	if i.silent || i.stopped {
		return -1
	}
	now := i.w.book.Now()
	i.model.Advance(now)
	for _, a := range i.model.TakeActions() {
		if a.Call {
			i.call(a.AttemptID)
		} else {
			i.answer(a)
		}
	}
	if choked := i.model.Overloaded(); choked != i.choked {
		if i.choked = choked; choked {
			i.w.book.Add(ledger.Entry{Kind: ledger.InstanceOverloaded, Tier: i.machine.Tier, Instance: i.machine.Name})
		}
	}
	if i.model.Crashed() {
		i.w.book.Add(ledger.Entry{Kind: ledger.InstanceCrashed, Tier: i.machine.Tier, Instance: i.machine.Name})
		i.down()
		i.w.registry.seen(i.machine, model.Gone, i.since, i.w.s.Discovery.SilentDetectionDelay.D())
		return -1
	}
	next, any := i.model.NextEvent()
	if !any {
		return -1
	}
	return max(0, next-i.w.book.Now())
}

func (i *instance) answer(a model.Action) {
	t := i.copies[a.AttemptID]
	if t == nil {
		return
	}
	delete(i.copies, a.AttemptID)
	out := answer{outcome: a.Outcome, spoil: a.Corruption, status: 200}
	note := token(i.machine.Name, a.AttemptID)
	outcome := "served"
	switch {
	case a.Outcome == model.Rejected:
		out.status, outcome, out.body = 503, "turned", "turned away\n"
	case a.Outcome == model.Declined:
		out.status, outcome, out.body = t.declined.status, "declined", "declined below\n"
		out.fields = scenario.ChainField + ": " + protocol.Declined + "\r\n"
		if t.declined.after != "" {
			out.fields += "Retry-After: " + t.declined.after + "\r\n"
		}
	case a.Outcome == model.Failed:
		out.status, outcome, out.body = 500, "failed", "failed\n"
	default:
		out.body = body(t.id, note)
	}
	if a.Corruption != model.Intact && a.Corruption < model.DuplicateResponse {
		outcome = "spoilt"
	}
	if a.HasLoad {
		out.load = i.w.loadText(i.machine.Tier, a.Load)
	}
	i.w.book.Add(ledger.Entry{Kind: ledger.AttemptEnded, ID: t.id, Tier: i.machine.Tier, Class: t.class, Sidecar: t.sidecar,
		Instance: i.machine.Name, AttemptID: a.AttemptID, Outcome: outcome, Status: out.status, Work: t.tierWork, Note: note})
	t.conn.send(out)
}

// call makes the next call of an attempt to the tier below.
func (i *instance) call(n uint64) {
	t := i.copies[n]
	if t == nil || i.beside == nil {
		i.model.CallEnded(i.w.book.Now(), n, false)
		return
	}
	to, life := i.beside, i.model
	c := call{tier: i.machine.Tier + 1, class: t.class, work: t.work, deadline: t.request.Deadline, by: i.machine.Name, parent: n, chain: t.chain}
	if i.misled {
		to, c.tier = i.w.pick(), 0
	}
	i.w.tasks.Go(func() {
		end, why := i.w.caller.try(to, c)
		i.post(func() {
			if i.model != life || i.silent || i.stopped {
				return
			}
			if t.declined = why; end == model.AttemptDeclined {
				life.CallDeclined(i.w.book.Now(), n)
			} else {
				life.CallEnded(i.w.book.Now(), n, end == model.AttemptServed)
			}
		})
	})
}

// admit opens a listener for a sidecar. It is called on the owner.
func (i *instance) admit(s *sidecar) {
	if i.stopped || i.listeners[s.name] != nil {
		return
	}
	d := &door{sidecar: s}
	i.listeners[s.name] = d
	if i.silent {
		return
	}
	i.open(d)
	if i.w.paths != nil {
		if err := i.w.paths.instance(s, i); err != nil {
			i.w.fail(fmt.Errorf("path from %s to %s: %w", s.name, i.machine.Name, err))
		}
	}
}

func (i *instance) open(d *door) {
	ln, err := relay.Listen(i.address(d.sidecar))
	if err != nil {
		i.w.fail(fmt.Errorf("instance %s: %w", i.machine.Name, err))
		return
	}
	d.ln = ln
	i.accept(d)
	i.show(d, relay.Accepting)
}

func (i *instance) accept(d *door) {
	ln := d.ln
	i.w.tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conn := &iconn{Conn: c, i: i, sidecar: d.sidecar.name, to: d.sidecar}
			if !i.post(func() { i.opened(conn) }) {
				c.Close()
			}
		}
	})
}

// address is where a sidecar reaches the instance.
func (i *instance) address(s *sidecar) string {
	return fmt.Sprintf("%s:%d", i.w.block.instance(i.machine.Tier, i.machine.AddressNumber), instancePort+s.index)
}

func (i *instance) opened(c *iconn) {
	if i.silent || i.stopped {
		c.reset()
		return
	}
	i.conns[c] = true
	i.w.book.Add(ledger.Entry{Kind: ledger.ConnectionOpened, Tier: i.machine.Tier, Instance: i.machine.Name, Sidecar: c.sidecar})
	c.counted = i.model.ConnectionOpened(i.w.book.Now())
	i.w.tasks.Go(c.read)
}

// closed takes the end of a connection. What it carried runs on, as nothing stops it, but its answer goes nowhere.
func (i *instance) closed(c *iconn) {
	if !i.conns[c] {
		return
	}
	delete(i.conns, c)
	if c.counted && !i.silent && !i.stopped {
		i.model.ConnectionClosed(i.w.book.Now())
	}
	if !c.behind {
		i.leave(c)
	}
}

// leave enters that what a connection carried has lost its sidecar.
func (i *instance) leave(c *iconn) {
	for n, t := range i.copies {
		if t.conn == c {
			i.left(n, t)
		}
	}
}

func (i *instance) left(n uint64, t *attempt) {
	i.w.book.Add(ledger.Entry{Kind: ledger.AttemptClosed, ID: t.id, Tier: i.machine.Tier, Class: t.class, Sidecar: t.sidecar,
		Instance: i.machine.Name, AttemptID: n})
}

// arrive takes a request whose last byte has come.
func (i *instance) arrive(c *iconn, r *request) {
	now := i.w.book.Now()
	n := i.w.copies.Add(1)
	t := &attempt{conn: c, id: r.id, class: r.class, work: r.work, sidecar: c.sidecar, chain: r.chain}
	tier := &i.w.s.Tiers[i.machine.Tier]
	mean := i.w.s.Classes[r.class].Work.D().Seconds() * tier.WorkShare
	t.tierWork = r.work * tier.WorkShare * model.Lognormal(i.rng, 1, i.w.s.Classes[r.class].AttemptNoise)
	t.request = model.Request{AttemptID: n, Work: t.tierWork, MeanWork: mean, Deadline: now + r.left}
	if below := i.machine.Tier + 1; below < len(i.w.s.Tiers) {
		calls := i.w.s.Tiers[below].CallsPerRequest
		t.request.DownstreamCalls = int(calls)
		if i.rng.Float64() < calls-float64(int(calls)) {
			t.request.DownstreamCalls++
		}
	}
	e := ledger.Entry{Kind: ledger.AttemptArrived, ID: r.id, Tier: i.machine.Tier, Class: r.class, Sidecar: c.sidecar,
		Instance: i.machine.Name, AttemptID: n, Work: t.tierWork, MeanWork: mean, Deadline: now + r.left}
	switch {
	case c.behind:
		e.Note = ledger.DelayedNote
	case i.silent:
		e.Note = "silent"
	}
	begun := e
	begun.Kind, begun.At, begun.Note, begun.Deadline = ledger.AttemptBegun, r.begun, "", r.begun+r.left
	i.w.book.Add(begun)
	if c.broken > 0 {
		// It was read, or waited as a first request does, while the process ended: it was lost with its connection then. Entered
		// as one that comes now it would have no end, and its sidecar has long known of that.
		e.At = c.broken
		i.w.book.Add(e)
		e.Kind, e.Work, e.MeanWork, e.Deadline = ledger.AttemptClosed, 0, 0, 0
		i.w.book.Add(e)
		return
	}
	i.w.book.Add(e)
	i.copies[n] = t
	if i.silent || i.stopped {
		return
	}
	if !c.counted {
		i.answer(model.Action{AttemptID: n, Outcome: model.Rejected})
		return
	}
	i.model.Arrive(now, t.request)
}

// probe answers a health call.
func (i *instance) probe(c *iconn, path string) {
	if i.silent || i.stopped {
		return
	}
	i.w.book.Add(ledger.Entry{Kind: ledger.Probed, Tier: i.machine.Tier, Instance: i.machine.Name, Sidecar: c.sidecar})
	now := i.w.book.Now()
	out := answer{status: 200}
	if load, any := i.model.Report(now); any && path == "/stats" {
		out.body = i.w.loadText(i.machine.Tier, load)
	}
	if wait := i.model.PausedUntil() - now; wait > 0 {
		time.AfterFunc(wait, func() { c.send(out) })
		return
	}
	c.send(out)
}

// vanish takes the machine off the network: connections stay open and silent, new ones never come up.
func (i *instance) vanish() {
	i.silent = true
	for _, d := range i.listeners {
		if d.ln != nil {
			i.show(d, relay.Unreachable)
			d.block = relay.NewAcceptBlocker(d.ln, &i.w.tasks.WaitGroup)
		}
	}
	if i.beside != nil {
		i.beside.freeze()
	}
}

// back brings the machine back: all its connections are reset, and the process is new and cold.
func (i *instance) back() {
	i.reset()
	i.silent, i.choked = false, false
	i.live(i.w.book.Now(), true)
	for _, d := range i.listeners {
		d.close()
		i.open(d)
	}
}

// reset breaks all connections and forgets what they carried.
func (i *instance) reset() {
	for n, t := range i.copies {
		if i.conns[t.conn] {
			i.left(n, t)
		}
	}
	clear(i.copies)
	for c := range i.conns {
		c.broken = i.w.book.Now() // before its sidecar can know
		c.reset()
	}
	clear(i.conns)
}

// down ends the process: connections are reset, new ones refused.
func (i *instance) down() {
	i.stopped = true
	for _, d := range i.listeners {
		i.show(d, relay.Refusing)
		d.close()
	}
	i.reset()
}

func (c *iconn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// send writes an answer. A reader that takes nothing must not hold the owner.
func (c *iconn) send(a answer) {
	c.i.w.tasks.Go(func() {
		c.write.Lock()
		defer c.write.Unlock()
		c.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Write(a.text()); err == nil && a.trickles() {
			a.trickle(c)
		}
	})
}

// request is what an instance reads of a request.
type request struct {
	id    string
	class int
	work  float64
	left  time.Duration
	begun time.Duration
	chain string
}

// read sees what comes on a connection until it ends.
func (c *iconn) read() {
	defer c.i.post(func() { c.i.closed(c) })
	defer c.Close()
	in := bufio.NewReaderSize(c, 4096)
	first := true
	for {
		if idle := c.i.machine.Config.Connections.IdleTimeout; idle > 0 {
			c.SetReadDeadline(time.Now().Add(idle))
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		begun := c.i.w.book.Now()
		if c.i.w.paths != nil {
			if at, known := c.i.w.paths.asked(c, c.to); known {
				begun = at
			}
		}
		c.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		for buf := make([]byte, 4096); err == nil; {
			_, err = r.Body.Read(buf)
		}
		if first { // as a handshake would, the first request waits
			time.Sleep(c.i.machine.Config.Connections.FirstRequestDelay)
			first = false
		}
		if r.URL.Path == "/health/live" || r.URL.Path == "/stats" {
			c.i.post(func() { c.i.probe(c, r.URL.Path) })
			continue
		}
		q, status := c.i.w.request(r)
		if status != 0 {
			c.i.w.book.Add(ledger.Entry{Kind: ledger.FaultInjected, Sidecar: c.sidecar, Instance: c.i.machine.Name, Status: status,
				Note: "unusable request " + r.Method + " " + r.URL.Path})
			c.send(answer{status: status})
			continue
		}
		q.begun = begun
		c.i.post(func() { c.i.arrive(c, q) })
	}
}

// request reads a request by the platform's protocol; status is 400 or 404 if it is none.
func (w *World) request(r *http.Request) (*request, int) {
	q := &request{id: r.Header.Get("X-Correlation-Id"), class: -1, chain: r.Header.Get(scenario.ChainField)}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	for n := range w.s.Classes {
		if w.s.Classes[n].Name == name {
			q.class = n
		}
	}
	us, err := strconv.ParseFloat(r.URL.Query().Get("work_us"), 64)
	switch {
	case q.id == "" || q.class < 0:
		return nil, 404
	case err != nil:
		return nil, 400
	}
	q.work = us / 1e6
	q.left = w.s.Classes[q.class].TotalTimeout.D()
	if v := r.Header.Get("X-Time-Left-Ms"); v != "" {
		left, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return nil, 400
		}
		q.left = time.Duration(left * float64(time.Millisecond))
	}
	return q, 0
}

// loadText writes a report with the fields of the settings, in the protocol's form.
func (w *World) loadText(tier int, l model.Load) string {
	var parts []string
	for _, f := range w.s.Tiers[tier].LoadReports.Fields {
		switch f {
		case "queue":
			parts = append(parts, fmt.Sprintf("queue=%d", l.Queue))
		case "inflight":
			parts = append(parts, fmt.Sprintf("inflight=%d", l.Inflight))
		case "qps":
			parts = append(parts, fmt.Sprintf("qps=%.1f", l.QPS))
		case "util":
			parts = append(parts, fmt.Sprintf("util=%.3f", l.Util))
		}
	}
	return strings.Join(parts, ",")
}

// token names an answer: which instance made it, for which attempt.
func token(instance string, n uint64) string { return instance + "/" + strconv.FormatUint(n, 10) }

// body is the answer made for an operation.
func body(id, token string) string { return `{"id":"` + id + `","by":"` + token + `"}` + "\n" }

// tokenOf is the token of a body made for an operation; empty if it was not.
func tokenOf(text []byte, id string) string {
	rest, ok := strings.CutPrefix(string(text), `{"id":"`+id+`","by":"`)
	if t, whole := strings.CutSuffix(rest, "\"}\n"); ok && whole {
		return t
	}
	return ""
}
