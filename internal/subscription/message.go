package subscription

import "time"

// Event is something that happened to the subscriptions, as the driver reports it to Core.Handle. Generation names the
// subscription, which is the number of reloads before it, and Call the call, as numbered by action Call.
type Event interface{ isEvent() }

// The events.
type (
	// Started asks for the subscription at the configured address to start. Further ones are ignored.
	Started struct {
		Version int64 // of the list that the process has
	}

	// AddressChanged reports a reload that names another address of discovery.
	AddressChanged struct{ Address string }

	// TimerFired reports that the time of the last action Wait of a subscription is over.
	TimerFired struct{ Generation int }

	// ResponseBegun reports that the head of a valid response has arrived.
	ResponseBegun struct {
		Waited time.Duration // since the call
	}

	// ListReceived reports that a watch, which may be a silent one, has received a valid list.
	ListReceived struct {
		Generation int
		Call       int
		Version    int64
	}

	// Reported reports that a list of a watch has been delivered, or that its heartbeat has arrived.
	Reported struct{ Generation int }

	// WatchSilent reports that a watch has missed its heartbeats. It is still read, and the CallEnded of its call follows.
	WatchSilent struct {
		Generation int
		Call       int
	}

	// SilentWatchEnded reports that a silent watch is no longer read.
	SilentWatchEnded struct {
		Generation int
		Call       int
	}

	// CallEnded reports the end of a call, or of the watch that it opened.
	CallEnded struct {
		Generation int
		Outcome    Outcome
		Err        error // passed on to action ReportCallEnd
		StartedAt  time.Duration
		Duration   time.Duration // to the end of the call or its watch
	}

	// CallCancelled reports the end of a call or watch that the driver cancelled.
	CallCancelled struct{ Generation int }
)

func (Started) isEvent()          {}
func (AddressChanged) isEvent()   {}
func (TimerFired) isEvent()       {}
func (ResponseBegun) isEvent()    {}
func (ListReceived) isEvent()     {}
func (Reported) isEvent()         {}
func (WatchSilent) isEvent()      {}
func (SilentWatchEnded) isEvent() {}
func (CallEnded) isEvent()        {}
func (CallCancelled) isEvent()    {}

// Action is something for the driver to do.
type Action interface{ isAction() }

// The actions.
type (
	// Open introduces a subscription. The other actions of its generation come between this one and Close.
	Open struct {
		Generation int
		Address    string
	}

	// Wait asks for a TimerFired after some time.
	Wait struct {
		Generation int
		For        time.Duration
	}

	// Call asks for a call to discovery.
	Call struct {
		Generation int
		Number     int // of the call, counted over all subscriptions from 1
		Address    string
		Version    int64 // changes since this one are requested; 0 requests the whole list
	}

	// Deliver asks for the list of the last ListReceived to be delivered, followed by a Reported.
	Deliver struct{}

	// Close ends a subscription: its wait, its call or watch, and its silent watch.
	Close struct {
		Generation int
		Cause      Cause
	}

	// CloseSilentWatch ends the silent watch of a subscription, as another call was answered.
	CloseSilentWatch struct{ Generation int }

	// SetLeaseExpiry says from when on no request may be sent, as the list is too old then.
	SetLeaseExpiry struct{ At time.Duration }

	// SourceLost says that no watch is open now.
	SourceLost struct{}

	// ReportCallEnd describes the end of a call for the log.
	ReportCallEnd struct {
		End        CallEnded
		Address    string
		Version    int64         // of the last list of the subscription
		Pause      time.Duration // before its next call
		Superseded bool          // no further call follows
		State      Snapshot
	}
)

func (Open) isAction()             {}
func (Wait) isAction()             {}
func (Call) isAction()             {}
func (Deliver) isAction()          {}
func (Close) isAction()            {}
func (CloseSilentWatch) isAction() {}
func (SetLeaseExpiry) isAction()   {}
func (SourceLost) isAction()       {}
func (ReportCallEnd) isAction()    {}

// Cause says why a subscription or a watch is ended. It is the error of what it ends.
type Cause string

// The causes.
const (
	AtOtherAddress    Cause = "superseded by a subscription at another address"
	TooManyReloads    Cause = "too many subscriptions pending after reloads"
	OtherCallAnswered Cause = "superseded by another call that was answered"
)

func (c Cause) Error() string { return string(c) }
