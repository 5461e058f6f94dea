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

// instance is one emulated instance on its sockets. Its event loop owns the model. Each connection has a reader goroutine,
// which sees requests and the end of the connection in every state of the instance.
type instance struct {
	w       *World
	machine scenario.Machine
	rng     *rand.Rand
	*eventLoop

	// Owned by the event loop.
	model         *model.Instance
	startedAt     time.Duration // 0 for an instance that is fully warmed up from the start
	attempts      map[uint64]*attempt
	listeners     map[string]*sidecarListener // by name of the sidecar
	conns         map[*instanceConn]bool
	silent        bool
	stopped       bool
	wasOverloaded bool
	localSidecar  *sidecar // sends its calls to the tier below; nil in the last tier
	misrouted     bool     // its calls go to the first tier instead
}

// sidecarListener is the listener at which one sidecar reaches the instance.
type sidecarListener struct {
	sidecar  *sidecar
	listener *net.TCPListener     // nil while it is not open
	blockade *relay.AcceptBlocker // nil unless the machine is off the network
}

// close lifts the blockade and closes the listener.
func (l *sidecarListener) close() {
	if l.blockade != nil {
		l.blockade.Release()
		l.blockade = nil
	}
	if l.listener != nil {
		l.listener.Close()
	}
}

// attempt is a request that the instance has received and not yet answered.
type attempt struct {
	request     model.Request
	conn        *instanceConn
	id          string
	class       int
	totalWork   float64 // of the client's request over all tiers, in core-seconds
	sidecarName string
	tierWork    float64
	chain       string // the chain header that its calls pass on
	rejection   rejection
}

// rejection is the reply that a rejected call got. The request that made the call is answered with it.
type rejection struct {
	status     int
	retryAfter string // value of Retry-After, empty for none
}

// instanceConn is a connection to an instance.
type instanceConn struct {
	net.Conn
	instance    *instance
	sidecarName string
	sidecar     *sidecar
	writeMu     sync.Mutex
	admitted    bool          // accepted by the model
	peerClosed  bool          // its sidecar has closed its side, which a broken path keeps from arriving here
	resetAt     time.Duration // when the instance reset it, 0 if it has not
}

func newInstance(w *World, m scenario.Machine, cold bool, localSidecar *sidecar) *instance {
	i := &instance{w: w, machine: m, rng: model.NewRand(w.seed, hash(m.Name)), attempts: map[uint64]*attempt{},
		listeners: map[string]*sidecarListener{}, conns: map[*instanceConn]bool{}, localSidecar: localSidecar}
	i.startProcess(w.ledger.Now(), cold)
	i.eventLoop = newEventLoop(i.advance)
	return i
}

// startProcess starts a process of the instance, in its cold start or fully warmed up, and records it.
func (i *instance) startProcess(now time.Duration, cold bool) {
	note := "warm"
	if i.startedAt = 0; cold {
		i.startedAt, note = now, "cold"
	}
	i.model = model.NewInstance(i.machine.Config, i.rng, now, cold)
	i.w.ledger.Add(ledger.Entry{At: max(now, 1), Kind: ledger.InstanceStarted, Tier: i.machine.Tier, Instance: i.machine.Name, Since: i.startedAt,
		Note: note, Capacity: float64(i.machine.Config.Cores) * i.machine.Config.Speed})
}

// resetModel replaces the model when the run's clock starts, and counts the connections that are open.
func (i *instance) resetModel() {
	i.startProcess(0, false)
	for c := range i.conns {
		c.admitted = i.model.ConnectionOpened(0)
	}
}

// advance advances the model to the present and executes its actions. It returns the delay until the next call.
func (i *instance) advance() time.Duration {
	if i.silent || i.stopped {
		return -1
	}
	now := i.w.ledger.Now()
	i.model.Advance(now)
	for _, a := range i.model.TakeActions() {
		if a.Call {
			i.call(a.AttemptID)
		} else {
			i.respond(a)
		}
	}
	if overloaded := i.model.Overloaded(); overloaded != i.wasOverloaded {
		if i.wasOverloaded = overloaded; overloaded {
			i.w.ledger.Add(ledger.Entry{Kind: ledger.InstanceOverloaded, Tier: i.machine.Tier, Instance: i.machine.Name})
		}
	}
	if i.model.Crashed() {
		i.w.ledger.Add(ledger.Entry{Kind: ledger.InstanceCrashed, Tier: i.machine.Tier, Instance: i.machine.Name})
		i.terminate()
		i.w.registry.scheduleChange(i.machine, model.Gone, i.startedAt, i.w.scenario.Discovery.SilentDetectionDelay.D())
		return -1
	}
	next, any := i.model.NextEvent()
	if !any {
		return -1
	}
	return max(0, next-i.w.ledger.Now())
}

// respond answers an attempt, unless its connection has been reset meanwhile.
func (i *instance) respond(action model.Action) {
	a := i.attempts[action.AttemptID]
	if a == nil {
		return
	}
	delete(i.attempts, action.AttemptID)
	out := response{outcome: action.Outcome, fault: action.Corruption, status: 200}
	note := answerToken(i.machine.Name, action.AttemptID)
	outcome := "served"
	switch {
	case action.Outcome == model.Rejected:
		out.status, outcome, out.body = 503, "turned", "turned away\n"
	case action.Outcome == model.Declined:
		out.status, outcome, out.body = a.rejection.status, "declined", "declined below\n"
		out.extraHeaders = scenario.ChainField + ": " + protocol.Declined + "\r\n"
		if a.rejection.retryAfter != "" {
			out.extraHeaders += "Retry-After: " + a.rejection.retryAfter + "\r\n"
		}
	case action.Outcome == model.Failed:
		out.status, outcome, out.body = 500, "failed", "failed\n"
	default:
		out.body = answerBody(a.id, note)
	}
	if action.Corruption != model.Intact && action.Corruption < model.DuplicateResponse {
		outcome = "spoilt"
	}
	if action.HasLoad {
		out.loadReport = i.w.formatLoad(i.machine.Tier, action.Load)
	}
	i.w.ledger.Add(ledger.Entry{Kind: ledger.AttemptEnded, ID: a.id, Tier: i.machine.Tier, Class: a.class, Sidecar: a.sidecarName,
		Instance: i.machine.Name, AttemptID: action.AttemptID, Outcome: outcome, Status: out.status, Work: a.tierWork, Note: note})
	a.conn.send(out)
}

// call makes the next call of attempt n to the tier below.
func (i *instance) call(n uint64) {
	a := i.attempts[n]
	if a == nil || i.localSidecar == nil {
		i.model.CallEnded(i.w.ledger.Now(), n, false)
		return
	}
	to, current := i.localSidecar, i.model
	c := call{tier: i.machine.Tier + 1, class: a.class, work: a.totalWork, deadline: a.request.Deadline,
		instance: i.machine.Name, parent: n, chain: a.chain}
	if i.misrouted {
		to, c.tier = i.w.pickSidecar(), 0
	}
	i.w.tasks.Go(func() {
		end, reject := i.w.caller.send(to, c)
		i.post(func() {
			if i.model != current || i.silent || i.stopped {
				return
			}
			if a.rejection = reject; end == model.AttemptDeclined {
				current.CallDeclined(i.w.ledger.Now(), n)
			} else {
				current.CallEnded(i.w.ledger.Now(), n, end == model.AttemptServed)
			}
		})
	})
}

// addSidecar opens a listener for a sidecar. It is called on the event loop.
func (i *instance) addSidecar(s *sidecar) {
	if i.stopped || i.listeners[s.name] != nil {
		return
	}
	l := &sidecarListener{sidecar: s}
	i.listeners[s.name] = l
	if i.silent {
		return
	}
	i.openListener(l)
	if i.w.paths != nil {
		if err := i.w.paths.openInstance(s, i); err != nil {
			i.w.fail(fmt.Errorf("open path from %s to %s: %w", s.name, i.machine.Name, err))
		}
	}
}

func (i *instance) openListener(l *sidecarListener) {
	ln, err := relay.Listen(i.address(l.sidecar))
	if err != nil {
		i.w.fail(fmt.Errorf("listener of instance %s: %w", i.machine.Name, err))
		return
	}
	l.listener = ln
	i.acceptLoop(l)
	i.setPathTarget(l, relay.Accepting)
}

func (i *instance) acceptLoop(l *sidecarListener) {
	ln := l.listener
	i.w.tasks.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conn := &instanceConn{Conn: c, instance: i, sidecarName: l.sidecar.name, sidecar: l.sidecar}
			if !i.post(func() { i.connOpened(conn) }) {
				c.Close()
			}
		}
	})
}

// address is the address at which a sidecar reaches the instance.
func (i *instance) address(s *sidecar) string {
	return fmt.Sprintf("%s:%d", i.w.addresses.instanceIP(i.machine.Tier, i.machine.AddressNumber), instancePort+s.index)
}

func (i *instance) connOpened(c *instanceConn) {
	if i.silent || i.stopped {
		c.reset()
		return
	}
	i.conns[c] = true
	i.w.ledger.Add(ledger.Entry{Kind: ledger.ConnectionOpened, Tier: i.machine.Tier, Instance: i.machine.Name, Sidecar: c.sidecarName})
	c.admitted = i.model.ConnectionOpened(i.w.ledger.Now())
	i.w.tasks.Go(c.readRequests)
}

// connClosed handles the end of a connection. Attempts on it continue, as nothing stops them, but nobody receives their answer.
func (i *instance) connClosed(c *instanceConn) {
	if !i.conns[c] {
		return
	}
	delete(i.conns, c)
	if c.admitted && !i.silent && !i.stopped {
		i.model.ConnectionClosed(i.w.ledger.Now())
	}
	if !c.peerClosed {
		i.recordAllLost(c)
	}
}

// recordAllLost records for each attempt on a connection that its sidecar is no longer connected.
func (i *instance) recordAllLost(c *instanceConn) {
	for n, a := range i.attempts {
		if a.conn == c {
			i.recordLost(n, a)
		}
	}
}

// recordLost records that the connection of attempt n has ended.
func (i *instance) recordLost(n uint64, a *attempt) {
	i.w.ledger.Add(ledger.Entry{Kind: ledger.AttemptClosed, ID: a.id, Tier: i.machine.Tier, Class: a.class, Sidecar: a.sidecarName,
		Instance: i.machine.Name, AttemptID: n})
}

// handleRequest handles a request that has arrived completely.
func (i *instance) handleRequest(c *instanceConn, r *request) {
	now := i.w.ledger.Now()
	n := i.w.lastAttempt.Add(1)
	a := &attempt{conn: c, id: r.id, class: r.class, totalWork: r.work, sidecarName: c.sidecarName, chain: r.chain}
	tier := &i.w.scenario.Tiers[i.machine.Tier]
	mean := i.w.scenario.Classes[r.class].Work.D().Seconds() * tier.WorkShare
	a.tierWork = r.work * tier.WorkShare * model.Lognormal(i.rng, 1, i.w.scenario.Classes[r.class].AttemptNoise)
	a.request = model.Request{AttemptID: n, Work: a.tierWork, MeanWork: mean, Deadline: now + r.timeLeft}
	if below := i.machine.Tier + 1; below < len(i.w.scenario.Tiers) {
		calls := i.w.scenario.Tiers[below].CallsPerRequest
		a.request.DownstreamCalls = int(calls)
		if i.rng.Float64() < calls-float64(int(calls)) {
			a.request.DownstreamCalls++
		}
	}
	e := ledger.Entry{Kind: ledger.AttemptArrived, ID: r.id, Tier: i.machine.Tier, Class: r.class, Sidecar: c.sidecarName,
		Instance: i.machine.Name, AttemptID: n, Work: a.tierWork, MeanWork: mean, Deadline: now + r.timeLeft}
	switch {
	case c.peerClosed:
		e.Note = ledger.DelayedNote
	case i.silent:
		e.Note = "silent"
	}
	begun := e
	begun.Kind, begun.At, begun.Note, begun.Deadline = ledger.AttemptBegun, r.firstByteAt, "", r.firstByteAt+r.timeLeft
	i.w.ledger.Add(begun)
	if c.resetAt > 0 {
		// The process ended while the request was read, or delayed as the first of its connection: it was lost when the
		// connection was reset. Recorded as one that arrives now, it would have no end, though its sidecar saw the reset earlier.
		e.At = c.resetAt
		i.w.ledger.Add(e)
		e.Kind, e.Work, e.MeanWork, e.Deadline = ledger.AttemptClosed, 0, 0, 0
		i.w.ledger.Add(e)
		return
	}
	i.w.ledger.Add(e)
	i.attempts[n] = a
	if i.silent || i.stopped {
		return
	}
	if !c.admitted {
		i.respond(model.Action{AttemptID: n, Outcome: model.Rejected})
		return
	}
	i.model.Arrive(now, a.request)
}

// handleProbe answers a health check.
func (i *instance) handleProbe(c *instanceConn, path string) {
	if i.silent || i.stopped {
		return
	}
	i.w.ledger.Add(ledger.Entry{Kind: ledger.Probed, Tier: i.machine.Tier, Instance: i.machine.Name, Sidecar: c.sidecarName})
	now := i.w.ledger.Now()
	out := response{status: 200}
	if load, any := i.model.Report(now); any && path == "/stats" {
		out.body = i.w.formatLoad(i.machine.Tier, load)
	}
	if wait := i.model.PausedUntil() - now; wait > 0 {
		time.AfterFunc(wait, func() { c.send(out) })
		return
	}
	c.send(out)
}

// vanish takes the machine off the network: connections stay open and silent, and new ones are never established.
func (i *instance) vanish() {
	i.silent = true
	for _, l := range i.listeners {
		if l.listener != nil {
			i.setPathTarget(l, relay.Unreachable)
			l.blockade = relay.NewAcceptBlocker(l.listener, &i.w.tasks.WaitGroup)
		}
	}
	if i.localSidecar != nil {
		i.localSidecar.freeze()
	}
}

// restore returns the machine to the network: all its connections are reset, and its new process is in its cold start.
func (i *instance) restore() {
	i.resetConns()
	i.silent, i.wasOverloaded = false, false
	i.startProcess(i.w.ledger.Now(), true)
	for _, l := range i.listeners {
		l.close()
		i.openListener(l)
	}
}

// resetConns resets all connections and drops the attempts on them.
func (i *instance) resetConns() {
	for n, a := range i.attempts {
		if i.conns[a.conn] {
			i.recordLost(n, a)
		}
	}
	clear(i.attempts)
	for c := range i.conns {
		c.resetAt = i.w.ledger.Now() // before its sidecar can notice
		c.reset()
	}
	clear(i.conns)
}

// terminate ends the process: its connections are reset and new ones refused.
func (i *instance) terminate() {
	i.stopped = true
	for _, l := range i.listeners {
		i.setPathTarget(l, relay.Refusing)
		l.close()
	}
	i.resetConns()
}

func (c *instanceConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// send writes a response. It does so in the background, as a peer that does not read must not block the event loop.
func (c *instanceConn) send(r response) {
	c.instance.w.tasks.Go(func() {
		c.writeMu.Lock()
		defer c.writeMu.Unlock()
		c.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Write(r.encode()); err == nil && r.endless() {
			r.sendFiller(c)
		}
	})
}

// request is a request as an instance parsed it.
type request struct {
	id          string
	class       int
	work        float64
	timeLeft    time.Duration
	firstByteAt time.Duration
	chain       string
}

// readRequests reads requests from a connection until it ends.
func (c *instanceConn) readRequests() {
	defer c.instance.post(func() { c.instance.connClosed(c) })
	defer c.Close()
	in := bufio.NewReaderSize(c, 4096)
	first := true
	for {
		if idle := c.instance.machine.Config.Connections.IdleTimeout; idle > 0 {
			c.SetReadDeadline(time.Now().Add(idle))
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		begun := c.instance.w.ledger.Now()
		if c.instance.w.paths != nil {
			if at, known := c.instance.w.paths.firstByteTime(c, c.sidecar); known {
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
		if first { // the first request waits, as it would for a handshake
			time.Sleep(c.instance.machine.Config.Connections.FirstRequestDelay)
			first = false
		}
		if r.URL.Path == "/health/live" || r.URL.Path == "/stats" {
			c.instance.post(func() { c.instance.handleProbe(c, r.URL.Path) })
			continue
		}
		req, status := c.instance.w.parseRequest(r)
		if status != 0 {
			c.instance.w.ledger.Add(ledger.Entry{Kind: ledger.FaultInjected, Sidecar: c.sidecarName, Instance: c.instance.machine.Name, Status: status,
				Note: "unusable request " + r.Method + " " + r.URL.Path})
			c.send(response{status: status})
			continue
		}
		req.firstByteAt = begun
		c.instance.post(func() { c.instance.handleRequest(c, req) })
	}
}

// parseRequest parses a request of the platform's protocol; the status is 0, or 400 or 404 for an invalid request.
func (w *World) parseRequest(r *http.Request) (*request, int) {
	req := &request{id: r.Header.Get("X-Correlation-Id"), class: -1, chain: r.Header.Get(scenario.ChainField)}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	for n := range w.scenario.Classes {
		if w.scenario.Classes[n].Name == name {
			req.class = n
		}
	}
	us, err := strconv.ParseFloat(r.URL.Query().Get("work_us"), 64)
	switch {
	case req.id == "" || req.class < 0:
		return nil, 404
	case err != nil:
		return nil, 400
	}
	req.work = us / 1e6
	req.timeLeft = w.scenario.Classes[req.class].TotalTimeout.D()
	if v := r.Header.Get("X-Time-Left-Ms"); v != "" {
		left, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return nil, 400
		}
		req.timeLeft = time.Duration(left * float64(time.Millisecond))
	}
	return req, 0
}

// formatLoad returns a load report in the protocol's format, with the fields that the scenario sets for the tier.
func (w *World) formatLoad(tier int, load model.Load) string {
	var fields []string
	for _, f := range w.scenario.Tiers[tier].LoadReports.Fields {
		switch f {
		case "queue":
			fields = append(fields, fmt.Sprintf("queue=%d", load.Queue))
		case "inflight":
			fields = append(fields, fmt.Sprintf("inflight=%d", load.Inflight))
		case "qps":
			fields = append(fields, fmt.Sprintf("qps=%.1f", load.QPS))
		case "util":
			fields = append(fields, fmt.Sprintf("util=%.3f", load.Util))
		}
	}
	return strings.Join(fields, ",")
}

// answerToken identifies an answer by the instance that produced it and the attempt.
func answerToken(instance string, n uint64) string { return instance + "/" + strconv.FormatUint(n, 10) }

// answerBody is the body of the answer to a request.
func answerBody(id, token string) string { return `{"id":"` + id + `","by":"` + token + `"}` + "\n" }

// parseAnswerBody returns the token in the body of an answer to a request, empty if the body is not one.
func parseAnswerBody(text []byte, id string) string {
	rest, ok := strings.CutPrefix(string(text), `{"id":"`+id+`","by":"`)
	if t, whole := strings.CutSuffix(rest, "\"}\n"); ok && whole {
		return t
	}
	return ""
}
