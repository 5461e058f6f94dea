package routing

import (
	"bytes"
	"runtime"
	"time"
)

// stuckAfter is how long one event may run. Events take microseconds; one that runs for a second is blocked.
const stuckAfter = time.Second

// Stuck reports whether the Loop has been running one event for at least stuckAfter. Any goroutine may call it. Submit does,
// so that a request is rejected immediately instead of waiting behind that event. The first caller that finds an event stuck
// logs its stack.
func (l *Loop) Stuck() bool {
	begunAt := l.eventBegunAt.Load()
	if begunAt == 0 || l.Now()-time.Duration(begunAt) < stuckAfter {
		return false
	}
	if logged := l.loggedStuckEvent.Load(); logged != begunAt && l.loggedStuckEvent.CompareAndSwap(logged, begunAt) {
		l.log.Error("event loop is stuck in one event", "for", (l.Now() - time.Duration(begunAt)).Round(time.Millisecond), "stack", loopStacks())
	}
	return true
}

// loopStacks returns the stacks of the goroutines that are running an event of a Loop.
func loopStacks() string {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	var found []byte
	for stack := range bytes.SplitSeq(stacks, []byte("\n\n")) {
		if bytes.Contains(stack, []byte(".(*Loop).handle(")) {
			found = append(append(found, stack...), '\n')
		}
	}
	return string(found)
}
