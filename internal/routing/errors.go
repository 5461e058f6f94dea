package routing

import (
	"context"
	"errors"
	"fmt"
	"os"

	"kitewood/balance"
)

// Progress is how far an attempt had come when it broke. Whether it may have run follows from it.
type Progress uint8

// The stages of an attempt.
const (
	NotSent       Progress = iota // no connection was asked for
	Connecting                    // there was no connection yet
	PartlyWritten                 // the request's last byte was not written: it never ran
	FullyWritten                  // it was: from here on the request may have run
	Answering                     // part of an answer has come
)

func (p Progress) String() string {
	return [...]string{"not sent", "connecting", "partly written", "wholly written", "answering"}[p]
}

// AttemptError is an attempt that ended without an answer.
type AttemptError struct {
	Progress Progress
	Err      error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("%v: %v", e.Progress, e.Err) }
func (e *AttemptError) Unwrap() error { return e.Err }

// Status is the module's word for the error.
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
