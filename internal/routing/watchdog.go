package routing

import (
	"bytes"
	"runtime"
	"time"
)

// stuckAfter is how long one event may run. They take microseconds; one of a second waits for something.
const stuckAfter = time.Second

// Stuck tells whether the Loop has been at one event for a second. Any goroutine may ask: whoever brings an operation
// does, so that it is refused at once instead of waiting behind that event. The first to see it logs where the Loop stands.
func (l *Loop) Stuck() bool {
	began := l.began.Load()
	if began == 0 || l.Now()-time.Duration(began) < stuckAfter {
		return false
	}
	if old := l.named.Load(); old != began && l.named.CompareAndSwap(old, began) {
		l.log.Error("the loop is stuck in an event", "for", (l.Now() - time.Duration(began)).Round(time.Millisecond), "stack", loops())
	}
	return true
}

// loops are the stacks of the goroutines that are at an event of a Loop.
func loops() string {
	text := make([]byte, 1<<20)
	text = text[:runtime.Stack(text, true)]
	var out []byte
	for stack := range bytes.SplitSeq(text, []byte("\n\n")) {
		if bytes.Contains(stack, []byte(".(*Loop).handle(")) {
			out = append(append(out, stack...), '\n')
		}
	}
	return string(out)
}
