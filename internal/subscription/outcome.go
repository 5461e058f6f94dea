package subscription

import "time"

// Outcome says how a call to discovery, or the watch that it opened, has ended.
type Outcome uint8

// The outcomes.
const (
	Unreachable  Outcome = iota // no connection was established
	Failed                      // the connection broke before a response, or an error came after a wait: discovery is down or overloaded
	Unanswered                  // connected, but no response within the time that discovery gives a call
	Refused                     // discovery is up and accepts no more calls
	Unreadable                  // the response is not a valid endpoint list
	Silent                      // the watch missed its heartbeats
	Broken                      // the connection of the watch broke
	Ended                       // discovery ended the watch with a complete response
	Truncated                   // discovery closed the connection in the middle of the response
	LocalFailure                // this machine lacks the resources to make the call
	outcomes
)

func (o Outcome) String() string {
	return [...]string{"unreachable", "failed", "unanswered", "refused", "unreadable", "silent", "broken", "ended in order", "cut", "local failure"}[o]
}

const (
	// ConnectTimeout is the timeout of a connection to discovery.
	ConnectTimeout = 1200 * time.Millisecond

	// MaxRefusalDelay separates refusals from failures. A call that is refused at once has met a full queue. A call that
	// fails later has waited for all the time that discovery gives it, 2 s or 3 s: discovery is down, or its queue is too
	// long.
	MaxRefusalDelay = 500 * time.Millisecond
)
