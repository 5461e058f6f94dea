// Package balance makes the decisions of a load balancer for services that call services.
//
// This file is the module's whole interface: the settings a Balancer is built from, the events its owner
// reports to it (methods on *Balancer), and the actions it asks of its Host. balance.go holds the life of a
// request, trend.go the trend-based mechanism and its weighted round robin; the exceptions to it have a file each: subset.go,
// pick.go, slowstart.go, outlier.go, shedding.go, retrybudget.go, hold.go.
//
// A Balancer is not safe for concurrent use: its owner calls it from one goroutine at a time. It has no clock:
// every event carries the present time, which may stand still but never runs backwards. It starts no goroutine
// and does no I/O; equal settings, seed and events give equal actions. It remembers a request until its final
// answer and the outcome of its last attempt, and a server while it is listed or an attempt is out there.
package balance

import "time"

// RequestID names a request. An ID is never used twice.
type RequestID uint32

// ServerID names a server. It tells nothing of the server's zone, kind or age.
type EndpointID uint32

// Settings are what a Balancer knows from the start.
type Settings struct {
	Seed             uint64        // source of all random choices
	Index, Balancers int           // this balancer's number, from 0, and how many there are in its tier
	Tier             int           // the tier it sends to; 0 is the one that clients reach
	Zone             int           // the zone it stands in
	Tick             time.Duration // least time between batches of events; 0 if events come at any time
	Classes          []Class       // request classes; at least one
	Tenants          []Tenant      // tenants; may be empty
	OverShareUtility float64       // part of its worth that a request keeps beyond its tenant's share
	Objective        Objective     // weights of the parts of the result
	Penalties        Penalties     // points off the result
	Report           Report        // load reports
	Limits           Limits        // what is allowed
	Rules            Rules         // figures of the rules
	PollDiscovery    bool          // news of servers comes only after Watch or Fetch, not by itself
	UnitsAreCapacity bool          // Units of a server tell its size; otherwise they are ignored
}

// Effect tells whether a request may run more than once.
type Effect uint8

// The effects of a request.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped inside its Group during its Window
	Unsafe               // must never run twice
)

// Group is the set of servers that drop each other's repeats of a keyed request.
type DedupScope uint8

// The groups.
const (
	ScopeAll  DedupScope = iota // all servers
	ScopeZone                   // those of one zone
	ScopeCell                   // those of one cell
)

// Class is a class of requests.
type Class struct {
	LatencyTarget time.Duration // an answer within this time earns the full worth
	Deadline      time.Duration // how long a client waits over all its tries
	Utility       float64       // worth of an answer
	LateUtility   float64       // share of the worth that an answer after the aim still earns
	Effect        Effect
	DedupScope    DedupScope    // for Keyed
	DedupWindow   time.Duration // for Keyed: how long repeats are dropped
	Stream        bool          // answers are streams
}

// Tenant is one of the parties whose requests share the servers.
type Tenant struct {
	Share float64 // share of the service
	Quota float64 // requests a second over all balancers that are inside the share; 0 for unknown
}

// Goal holds the weights of the parts of the result.
type Objective struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are points off the result for each unit.
type Penalties struct{ CrossZone, Waste, LateFailure, Probe, Peer float64 }

// Field is one value of a load report.
type Field uint8

// The values a load report can hold.
const (
	OtherField Field = iota // a value this module does not use
	Util                    // share of the processors in use
	Inflight                // requests held
	Queue                   // requests waiting
	LatencyMS               // recent service time in milliseconds
	QPS                     // requests served a second
	EPS                     // errors a second
)

// Via tells how load reports come.
type ReportSource uint8

// The ways of load reports.
const (
	NoReports   ReportSource = iota
	OnResponses              // in outcomes and probe results
	OnProbes                 // in probe results only
)

// Report describes the load reports.
type Report struct {
	Source ReportSource
	Fields []Field // the order of their values
}

// Limits tell what is allowed.
type Limits struct {
	Probes, Peers, Cancel, Hedging, RetryAfter bool
	MaxAttempts                                int // attempts for one request; at least 1
	MaxRetryAfter                              time.Duration
	RetryShare                                 float64 // repeats of what may have run, as a share of first sends; 0 for the module's own
	RetryBurst                                 float64 // and how many of them all balancers together can save up; 0 for the module's own
}

// Rules are the figures of the rules that are kept without fail.
type Rules struct {
	DrainGrace        time.Duration // no send to a draining or gone server later than this after the news
	DiscoveryInterval time.Duration // with Ask: how often discovery must be asked while there is no subscription
	SlowStartShare    float64       // a server that has just started can do at least this part of its work
	SlowStartTime     time.Duration // and all of it after this time
	OverloadMultiple  float64       // sent more than this many times what it can do
	OverloadWindow    time.Duration // for this long, a cold server falls over
}

// State is what discovery says of a server.
type State uint8

// The states of a server.
const (
	Gone State = iota
	Ready
	Draining
)

// Server is an entry of the list of servers.
type Endpoint struct {
	ID      EndpointID
	Zone    int
	Kind    int
	Cell    int
	State   State
	Units   float64
	ReadyAt time.Duration // when it last started; 0 for long ago
}

// ListKind tells what a Members event holds.
type ListKind uint8

// The kinds of lists.
const (
	Delta  ListKind = iota // only what changed
	Full                   // the whole list
	Cached                 // the whole list as last known, maybe old
	Failed                 // a Watch or Fetch failed, or the subscription broke; no entries
)

func (k ListKind) String() string { return [...]string{"delta", "full", "cached", "failed"}[k] }

// Status tells how an attempt or a probe ended.
type Status uint8

// The statuses.
const (
	OK            Status = iota + 1
	Error                // answered with an error; it may have run
	Rejected             // turned away unseen; it never ran
	Timeout              // no answer in time; it may have run or still run
	ConnectFailed        // no connection in time; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // withdrawn; it may have run
	NotSent              // not sent; it never ran
	Declined             // refused for good by what lies below, and passed on as the final answer
)

func (s Status) String() string {
	return [...]string{"none", "ok", "error", "turned away", "timed out", "connect failed", "reset", "called off", "not sent", "declined"}[s]
}

// Reason tells why a request ended without the answer of a server.
type Reason uint8

// The reasons.
const (
	UnknownClass  Reason = iota // the settings name no such class
	Shed                        // load shedding: an answer is foretold late
	TooLate                     // too little of its time is left for an answer
	AttemptsSpent               // it has had as many attempts as are allowed
	NoEndpoint                  // no server may take it, and it may not wait for one
	QueueTimeout                // it has waited in the queue for as long as it may
	NotRetriable                // an attempt may have run, and its class may not run again
	NoRetryBudget               // an attempt may have run, and the retry budget is spent

	ReasonCount = iota // how many there are
)

func (r Reason) String() string {
	return [...]string{"unknown class", "load shedding", "too late", "attempts spent", "no endpoint", "queue timeout", "not repeatable",
		"no retry budget"}[r]
}

// Outcome tells how an attempt ended.
type Outcome struct {
	ID       RequestID
	Final    bool // the request is over, by this outcome or earlier
	Attempt  int
	Endpoint EndpointID
	Latency  time.Duration
	Status   Status
	Load     []float32 // a load report in the order of Report.Fields, or empty; read during the call only
}

// Request is a client's request.
type Request struct {
	ID          RequestID
	Class       int
	Tenant      int
	Key         uint64        // 0 for none
	Deadline    time.Duration // when this try is given up
	CostHint    float64       // guess of its cost in seconds of a core; 0 for none
	ClientRetry bool          // marked by the client as a repeat
	Origin      uint64        // hash of whom it comes from, the same at all balancers and for a client's repeats; 0 for not known
}

// AllPeers addresses a message to every other balancer of the tier.
const AllPeers = -1

// Host performs a Balancer's actions, in order and without calling back.
type Host interface {
	// Send passes a request to a server. The first Send of a request is its attempt 0, the next is 1, and so on.
	Send(id RequestID, server EndpointID, timeout time.Duration)
	// Refuse ends a request unserved; trying again is harmless, after retryAfter if that is above 0.
	Reject(id RequestID, retryAfter time.Duration, why Reason)
	// Fail ends a request unserved and promises nothing.
	Fail(id RequestID, why Reason)
	// Cancel stops waiting for an attempt; its outcome still comes.
	Cancel(id RequestID, attempt int)
	// Probe asks a server for its health and load; one Probed event answers.
	Probe(server EndpointID)
	// Close closes the idle connections to a server.
	CloseIdle(server EndpointID)
	// Watch asks for changes of the list of servers from now on.
	Watch()
	// Tell sends at most 256 bytes to a peer or to AllPeers. The data are valid during the call only.
	SendToPeer(peer int, data []byte)
	// Timer asks for one Timer event with this token after the delay.
	StartTimer(delay time.Duration, token uint64)
	// Log notes a line for the people on call.
	Log(text string)
}
