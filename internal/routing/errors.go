package routing

import (
	"context"
	"errors"
	"fmt"
	"os"

	"kitewood/balance"
)

// Progress is the stage that an attempt had reached when it failed. It determines whether the request may have run.
type Progress uint8

// The stages of an attempt, in order.
const (
	NotSent       Progress = iota // no connection was requested
	Connecting                    // waiting for a connection
	PartlyWritten                 // the request's last byte was not written, so it did not run
	FullyWritten                  // the request was written completely; from here on it may have run
	Answering                     // part of the answer was received
)

func (p Progress) String() string {
	return [...]string{"not sent", "connecting", "partly written", "wholly written", "answering"}[p]
}

// AttemptError reports an attempt that ended without an answer, and how far it had got.
type AttemptError struct {
	Progress Progress
	Err      error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("%v: %v", e.Progress, e.Err) }
func (e *AttemptError) Unwrap() error { return e.Err }

// Status maps the error to the outcome status that package balance expects.
func (e *AttemptError) Status() balance.Status {
	switch {
	case e.Progress == NotSent, e.Progress < FullyWritten && errors.Is(e.Err, context.Canceled):
		return balance.NotSent
	case e.Progress < FullyWritten:
		return balance.ConnectFailed
	case errors.Is(e.Err, context.Canceled):
		return balance.Cancelled
	case errors.Is(e.Err, os.ErrDeadlineExceeded):
		return balance.Timeout
	}
	return balance.Reset
}
