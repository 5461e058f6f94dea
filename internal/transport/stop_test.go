package transport

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kitewood/internal/protocol"
)

// The sidecar stops while its only endpoint never answers, and clients send on every open connection until it is closed: each
// request that was taken gets its answer, and the last one comes before the process may be killed.
func TestStopAnswersAllConnections(t *testing.T) {
	const clients, within = 12, 900 * time.Millisecond
	srv, ln := startSidecar(t, 2*clients, startTestServer(t, func(conn net.Conn) { io.Copy(io.Discard, conn) }))
	loop := loopOf(t, srv)
	var answers atomic.Uint64
	var running sync.WaitGroup
	for n := range clients {
		conn, _ := dial(t, ln)
		running.Go(func() {
			timeLeft := []int{40, 150, 800}[n%3]
			for i := 0; ; i++ {
				id := fmt.Sprintf("Id: %d-%d\r\nX-Time-Left-Ms: %d", n, i, timeLeft)
				if _, err := io.WriteString(conn, strings.Replace(lookRequest, "Id: 1", id, 1)); err != nil {
					return
				}
				parser, buf := protocol.Parser{Responses: true}, make([]byte, 1<<10)
				for answered := false; !answered; {
					size, err := conn.Read(buf)
					if _, msg, _ := parser.Feed(buf[:size]); msg != nil {
						answers.Add(1)
						answered = true
					} else if err != nil {
						return
					}
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	srv.Stop(t.Context(), within, ln)
	running.Wait()
	if took := time.Since(began); took > within+200*time.Millisecond {
		t.Errorf("the last answer came after %v, want at most %v", took, within+200*time.Millisecond)
	}
	v, _ := loop.View(time.Second)
	if taken := v.Metrics.Requests; answers.Load() < taken || taken < 2*clients {
		t.Errorf("%d requests were taken and %d answered, want at least %d and all", taken, answers.Load(), 2*clients)
	}
}
