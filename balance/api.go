// Package balance implements the decisions of a load balancer for service-to-service requests.
//
// This file is the whole interface of the package: the settings of a Balancer, the events that its owner reports to it
// (methods of *Balancer), and the actions that it requests from its Host. balance.go handles the life cycle of a request;
// trend.go holds the utilisation-trend algorithm and its weighted round robin. The exceptions to the algorithm have a file
// each: subset.go, pick.go, slowstart.go, outlier.go, shedding.go, retrybudget.go, hold.go.
//
// A Balancer is not safe for concurrent use: its owner calls it from one goroutine at a time. It reads no clock: every event
// carries the current time, which may stand still but never runs backwards. It starts no goroutine and does no I/O; the same
// settings, seed and events give the same actions. It remembers a request until its final answer and the outcome of its last
// attempt, and an endpoint while it is listed or has an attempt in flight.
package balance

import "time"

// RequestID identifies a request. An ID is never used twice.
type RequestID uint32

// EndpointID identifies an endpoint. It carries no information about the endpoint's zone, kind or age.
type EndpointID uint32

// Settings configure a Balancer.
type Settings struct {
	Seed             uint64        // source of all random choices
	Index, Balancers int           // this balancer's number, from 0, and the number of balancers in its tier
	Tier             int           // the tier it sends to; 0 is the one that clients reach
	Zone             int           // the zone it runs in
	Tick             time.Duration // smallest time between batches of events; 0 if events arrive at any time
	Classes          []Class       // request classes; at least one
	Tenants          []Tenant      // tenants; may be empty
	OverShareUtility float64       // part of its utility that a request keeps beyond its tenant's share
	Objective        Objective     // weights of the parts of the objective
	Penalties        Penalties     // deductions from the objective
	Report           Report        // format and source of load reports
	Limits           Limits        // what is allowed
	Rules            Rules         // parameters of the invariants
	PollDiscovery    bool          // updates of the endpoint list arrive only after Host.Watch, not unasked
	UnitsAreCapacity bool          // Units of an endpoint tell its capacity; otherwise they are ignored
}

// Effect says whether a request may run more than once.
type Effect uint8

// The effects of a request.
const (
	Safe   Effect = iota // may be retried freely
	Keyed                // duplicates are dropped within DedupScope during DedupWindow
	Unsafe               // must never run twice
)

// DedupScope is the set of endpoints among which duplicates of a keyed request are dropped.
type DedupScope uint8

// The deduplication scopes.
const (
	ScopeAll  DedupScope = iota // all endpoints
	ScopeZone                   // endpoints of one zone
	ScopeCell                   // endpoints of one cell
)

// Class is a class of requests.
type Class struct {
	LatencyTarget time.Duration // an answer within this time earns the full utility
	Deadline      time.Duration // how long a client waits, over all its attempts
	Utility       float64       // utility of an answer
	LateUtility   float64       // share of the utility that an answer after the latency target still earns
	Effect        Effect
	DedupScope    DedupScope    // for Keyed
	DedupWindow   time.Duration // for Keyed: how long duplicates are dropped
	Stream        bool          // answers are streams
}

// Tenant is one of the parties that share the endpoints.
type Tenant struct {
	Share float64 // share of the service
	Quota float64 // requests a second over all balancers that are within the share; 0 for unknown
}

// Objective holds the weights of the parts of the objective.
type Objective struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Penalties are the deductions from the objective for each unit.
type Penalties struct{ CrossZone, Waste, LateFailure, Probe, Peer float64 }

// Field is one value of a load report.
type Field uint8

// The values a load report can hold.
const (
	OtherField Field = iota // a value that this package does not use
	Util                    // share of the processors in use
	Inflight                // requests in flight
	Queue                   // requests queued
	LatencyMS               // recent service time in milliseconds
	QPS                     // requests served a second
	EPS                     // errors a second
)

// ReportSource tells where load reports come from.
type ReportSource uint8

// The sources of load reports.
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

// Limits tell what a Balancer may do.
type Limits struct {
	Probes, Peers, Cancel, Hedging, RetryAfter bool
	MaxAttempts                                int // attempts for one request; at least 1
	MaxRetryAfter                              time.Duration
	RetryShare                                 float64 // retries of attempts that may have run, as a share of first attempts; 0 for the default
	RetryBurst                                 float64 // retry tokens that all balancers together can accumulate; 0 for the default
}

// Rules are the parameters of the invariants, which must never be violated.
type Rules struct {
	DrainGrace        time.Duration // no send to a draining or gone endpoint later than this after it was reported
	DiscoveryInterval time.Duration // with PollDiscovery: how often discovery must be called while there is no subscription
	SlowStartShare    float64       // an endpoint that has just started can handle at least this part of its full load,
	SlowStartTime     time.Duration // and all of it after this time
	OverloadMultiple  float64       // an endpoint in slow start that is sent more than this many times what it can handle
	OverloadWindow    time.Duration // for this long fails from overload
}

// State is the state of an endpoint as reported by discovery.
type State uint8

// The states of an endpoint.
const (
	Gone State = iota
	Ready
	Draining
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID      EndpointID
	Zone    int
	Kind    int
	Cell    int
	State   State
	Units   float64       // capacity, where Settings.UnitsAreCapacity
	ReadyAt time.Duration // when it last started; 0 for long ago
}

// ListKind tells what an UpdateEndpoints event holds.
type ListKind uint8

// The kinds of lists.
const (
	Delta  ListKind = iota // only the changed entries
	Full                   // the whole list
	Cached                 // the whole list as last known, possibly stale
	Failed                 // a watch failed or broke; no entries
)

func (k ListKind) String() string { return [...]string{"delta", "full", "cached", "failed"}[k] }

// Status tells how an attempt or a probe ended.
type Status uint8

// The statuses.
const (
	OK            Status = iota + 1
	Error                // answered with an error; it may have run
	Rejected             // rejected by the endpoint, unprocessed; it never ran
	Timeout              // no answer in time; it may have run or still run
	ConnectFailed        // no connection in time; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // cancelled; it may have run
	NotSent              // not sent; it never ran
	Declined             // declined for good by a service further down; passed on as the final answer
)

func (s Status) String() string {
	return [...]string{"none", "ok", "error", "turned away", "timed out", "connect failed", "reset", "called off", "not sent", "declined"}[s]
}

// Reason tells why a request ended without an answer from an endpoint.
type Reason uint8

// The reasons.
const (
	UnknownClass  Reason = iota // the settings have no such class
	Shed                        // load shedding: the answer is predicted to be late
	TooLate                     // too little time is left for an answer
	AttemptsSpent               // the maximum number of attempts is reached
	NoEndpoint                  // no endpoint may handle it, and it may not be queued
	QueueTimeout                // it was queued for as long as allowed
	NotRetriable                // an attempt may have run, and its class may not run again
	NoRetryBudget               // an attempt may have run, and the retry budget is exhausted

	ReasonCount = iota // the number of reasons
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
	Deadline    time.Duration // when the client gives up this attempt
	CostHint    float64       // estimated cost in core seconds; 0 for none
	ClientRetry bool          // marked by the client as a retry
	Origin      uint64        // hash of the origin, the same at all balancers and for client retries; 0 for unknown
}

// AllPeers addresses a message to every other balancer of the tier.
const AllPeers = -1

// Host performs a Balancer's actions in order, and must not call the Balancer from within them.
type Host interface {
	// Send sends a request to an endpoint. The first Send of a request is its attempt 0, the next is 1, and so on.
	Send(id RequestID, endpoint EndpointID, timeout time.Duration)
	// Reject ends a request without an answer; a retry is safe, after retryAfter if that is above 0.
	Reject(id RequestID, retryAfter time.Duration, reason Reason)
	// Fail ends a request without an answer; it may have run.
	Fail(id RequestID, reason Reason)
	// Cancel stops waiting for an attempt; its outcome still comes.
	Cancel(id RequestID, attempt int)
	// Probe requests health and load of an endpoint; one ProbeDone event answers.
	Probe(endpoint EndpointID)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint EndpointID)
	// Watch subscribes to changes of the endpoint list.
	Watch()
	// SendToPeer sends at most 256 bytes to a peer or to AllPeers. The data are valid during the call only.
	SendToPeer(peer int, data []byte)
	// StartTimer requests one TimerFired event with this token after the delay.
	StartTimer(delay time.Duration, token uint64)
	// Log writes a log line for operators.
	Log(text string)
}
