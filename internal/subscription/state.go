package subscription

import (
	"math/rand/v2"
	"time"
)

// State is the state of one subscription. Two facts hold beside it: whether a later reload has superseded the subscription,
// which only a subscription that is Calling or Watching survives, and whether its last watch fell silent and is still read,
// while it is Pausing or Calling.
type State uint8

// The states.
const (
	Idle         State = iota // not started
	InitialDelay              // it waits for a random time before its first call, as the process has just started
	Debouncing                // it waits for further reloads before its first call
	Pausing                   // it waits between two calls
	Calling                   // a call is in progress, and no list has arrived yet
	Watching                  // a watch is open and has delivered a list
	Closed                    // it has ended
)

func (s State) String() string {
	return [...]string{"idle", "initial delay", "debouncing", "pausing", "calling", "watching", "closed"}[s]
}

// isWaiting reports whether a timer ends the state.
func (s State) isWaiting() bool { return s == InitialDelay || s == Debouncing || s == Pausing }

// subscription is the subscription at one address of discovery, which is or was the configured one.
type subscription struct {
	generation    int // number of reloads before it
	address       string
	version       int64 // of the last list from this address, 0 for none
	state         State
	superseded    bool          // a later reload names another address
	debounceUntil time.Duration // end of the state Debouncing
	call          int           // number of the last call
	silentCall    int           // number of the call whose silent watch is still read; 0 for none
	pace          backoff
}

// delayFirstCall starts a subscription at the first address, with a random delay since the process was created.
func (s *subscription) delayFirstCall(version int64) {
	s.version, s.state = version, InitialDelay
}

// debounce starts a subscription after a reload, and waits for further reloads until some time.
func (s *subscription) debounce(until time.Duration) {
	s.state, s.debounceUntil = Debouncing, until
}

// beginCall makes a call with a number. The first one starts the pace of the calls.
func (s *subscription) beginCall(now time.Duration, number int) {
	if s.state != Pausing {
		s.pace.startedAt = now
	}
	s.state, s.call = Calling, number
}

// acceptList records that the current watch has received a list.
func (s *subscription) acceptList(version int64) {
	s.version, s.state = version, Watching
}

// acceptSilentList records that the silent watch has received a list.
func (s *subscription) acceptSilentList(version int64) { s.version = version }

// fallSilent records that the current watch is silent and still read.
func (s *subscription) fallSilent(call int) { s.silentCall = call }

// endSilentWatch records that the silent watch is no longer read.
func (s *subscription) endSilentWatch() { s.silentCall = 0 }

// endCall records that the call or the watch has ended, and returns the pause before the next call.
func (s *subscription) endCall(end CallEnded, now time.Duration, rng *rand.Rand) time.Duration {
	s.state = Pausing
	return s.pace.next(end, now, rng)
}

// supersede records that a later reload names another address.
func (s *subscription) supersede() { s.superseded = true }

// close ends the subscription.
func (s *subscription) close() { s.state, s.silentCall = Closed, 0 }
