package drill

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"kitewood/internal/lab/child"
)

// controlService is a kitewood-control process.
type controlService struct {
	*child.Child
	address string
}

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
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &controlService{address: free.Addr().String()}
	free.Close()
	path := filepath.Join(dir, name+"-config.yaml")
	text := fmt.Sprintf(`name: %s
plaintext: true
listeners: [{address: %q}]
pools:
%sroutes:
%s`, name, c.address, pools, routes)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, err
	}
	// GOMAXPROCS are the cores that the figures are stated for.
	c.Child, err = child.Start(filepath.Join(dir, name+".log"), []string{"GOMAXPROCS=4"}, o.Control, "serve", "--config", path)
	return c, err
}

// stop ends the service and tells whether it ended by itself, with status 0.
func (c *controlService) stop() bool { return c.Stop(20*time.Second) == "" }
