package drill

import (
	"context"
	"fmt"
	"slices"
	"time"

	"kitewood/internal/lab/child"
	"kitewood/internal/lab/proxy"
)

// controlService is a kitewood-control process.
type controlService struct{ *child.ControlProcess }

// startControl starts a control service with two pools whose list files lie in dir.
func startControl(o Options, dir, name string) (*controlService, error) {
	return startControlWith(o, dir, name, `  - {name: web, members: {file: web.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
  - {name: rpc, members: {file: rpc.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
`, `  - {hosts: [web.test], pool: web}
  - {hosts: [rpc], pool: rpc}
`)
}

// startControlWith starts a control service with the given YAML entries for pools and routes.
func startControlWith(o Options, dir, name, pools, routes string) (*controlService, error) {
	// The documented results are for a service with this many cores.
	c, err := child.StartControl(o.ControlBinary, dir, name, "pools:\n"+pools+"routes:\n"+routes, "GOMAXPROCS=4")
	return &controlService{c}, err
}

// stop asks the service to end and reports whether it exited by itself with status 0.
func (c *controlService) stop() bool { return c.Stop(20*time.Second) == "" }

// waitTimeout bounds how long the drills wait for a condition.
const waitTimeout = 60 * time.Second

// waitUntil polls until the condition holds. It returns an error after waitTimeout, or when the context or the control service
// ends.
func waitUntil(ctx context.Context, service *child.ControlProcess, condition string, met func() bool) error {
	for limit := time.Now().Add(waitTimeout); !met(); {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-service.Done:
			return fmt.Errorf("control service ended: %s", service.Output())
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if time.Now().After(limit) {
			return fmt.Errorf("condition not met within %s: %s", waitTimeout, condition)
		}
	}
	return nil
}

// allReady reports whether every lab proxy has endpoints of the pool web, to which the drills send.
func allReady(tables []*proxy.Table) bool {
	return !slices.ContainsFunc(tables, func(t *proxy.Table) bool { return !t.Ready("web") })
}
