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

// startControl starts a control service with two pools whose lists lie in a folder.
func startControl(o Options, dir, name string) (*controlService, error) {
	return startControlWith(o, dir, name, `  - {name: web, members: {file: web.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
  - {name: rpc, members: {file: rpc.yaml}, classes: [{name: any, effect: unsafe, aim: 1s, deadline: 3s}]}
`, `  - {hosts: [web.test], pool: web}
  - {hosts: [rpc], pool: rpc}
`)
}

// startControlWith starts a control service with these lines of pools and routes.
func startControlWith(o Options, dir, name, pools, routes string) (*controlService, error) {
	// GOMAXPROCS are the cores that the figures are stated for.
	c, err := child.StartControl(o.ControlBinary, dir, name, "pools:\n"+pools+"routes:\n"+routes, "GOMAXPROCS=4")
	return &controlService{c}, err
}

// stop ends the service and tells whether it ended by itself, with status 0.
func (c *controlService) stop() bool { return c.Stop(20*time.Second) == "" }

// controlWait is how long until waits.
const controlWait = 60 * time.Second

// until waits until something is so. It gives up where the control service ends.
func until(ctx context.Context, service *child.ControlProcess, what string, is func() bool) error {
	for end := time.Now().Add(controlWait); !is(); {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-service.Done:
			return fmt.Errorf("the control service has ended: %s", service.Output())
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %s: %s", controlWait, what)
		}
	}
	return nil
}

// allReady tells whether all of the lab's proxies have endpoints of the pool that the drills send to.
func allReady(tables []*proxy.Table) bool {
	return !slices.ContainsFunc(tables, func(t *proxy.Table) bool { return !t.Ready("web") })
}
