package drill

import (
	"time"

	"kitewood/internal/lab/child"
)

// controlService is a kitewood-control process.
type controlService struct{ *child.Control }

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
	c, err := child.StartControl(o.Control, dir, name, "pools:\n"+pools+"routes:\n"+routes, "GOMAXPROCS=4")
	return &controlService{c}, err
}

// stop ends the service and tells whether it ended by itself, with status 0.
func (c *controlService) stop() bool { return c.Stop(20*time.Second) == "" }
