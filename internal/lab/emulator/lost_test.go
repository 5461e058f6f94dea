package emulator

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"kitewood/internal/lab/ledger"
	"kitewood/internal/testkit"
)

// An instance's process ends while a request that it has read is delayed, as the first on its connection. Its sidecar sees the
// reset and retries at once. The ledger must not show two attempts in flight at once, but must show that a request that may have
// run was retried.
func TestProcessEndsWhileARequestWaits(t *testing.T) {
	const delay = 200 * time.Millisecond
	for _, class := range []string{"look", "pay"} {
		t.Run(class, func(t *testing.T) {
			s := readScenario(t, strings.TrimSuffix(baseScenario, "troubles:\n"))
			w := &World{scenario: s, seed: 1, ledger: ledger.NewRecorder(), tasks: &tasks{}, log: slog.New(slog.DiscardHandler)}
			plan := s.Plan(1)
			var instances []*instance
			for _, m := range plan.Machines[:2] {
				m.Config.Connections.FirstRequestDelay = delay
				i := newInstance(w, m, false, nil)
				defer i.stop()
				instances = append(instances, i)
			}
			send := func(i *instance) net.Conn {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				c, err := net.Dial("tcp", ln.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				conn, err := ln.Accept()
				if err != nil {
					t.Fatal(err)
				}
				i.do(func() { i.connOpened(&instanceConn{Conn: conn, instance: i, sidecarName: "s"}) })
				io.WriteString(c, "GET /"+class+"/x?work_us=1000 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 7\r\nX-Time-Left-Ms: 1500\r\n\r\n")
				return c
			}
			first := send(instances[0])
			time.Sleep(delay / 4) // it has been read and is being delayed
			instances[0].do(instances[0].terminate)
			if _, err := io.ReadAll(first); err == nil {
				t.Fatal("the connection was not reset")
			}
			send(instances[1]) // at once, as a sidecar may
			testkit.WaitUntil(t, "both attempts are recorded, and the second has ended", func() bool {
				n := map[ledger.Kind]int{}
				for _, e := range w.ledger.Entries() {
					n[e.Kind]++
				}
				return n[ledger.AttemptArrived] == 2 && n[ledger.AttemptEnded] == 1
			})
			got := map[string]int{}
			for _, b := range ledger.FindViolations(w.ledger.Entries(), s.Rules()) {
				got[b.Rule]++
			}
			if got[ledger.RuleNoConcurrentAttempts] > 0 {
				t.Errorf("reported two attempts at once, though the first was lost: %v", w.ledger.Entries())
			}
			if retried := got[ledger.RuleNoUnsafeRetry] > 0; retried != (class == "pay") {
				t.Errorf("retry of a request that may have run: reported %v", retried)
			}
		})
	}
}
