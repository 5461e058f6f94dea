// Package config reads the configuration file of a sidecar or control service: a process that serves several pools, each with
// endpoints, classes and limits of its own. docs/configuration.md documents the file key by key.
package config

//go:generate go run ./schemagen ../../docs/configuration.schema.json

import "kitewood/internal/yamlfile"

// Duration is a duration with a unit, such as 500ms or 1m30s.
type Duration = yamlfile.Duration

// File is a configuration file.
type File struct {
	// Name of this process, in logs.
	Name string `yaml:"name"`
	// Seed of all random choices, up to 16 hexadecimal digits; derived from the name if left out.
	Seed string `yaml:"seed,omitempty"`
	// Limits of the whole process.
	Limits Limits `yaml:"limits,omitempty"`
	// Listeners of the process. Each of them serves all routes.
	Listeners []Listener `yaml:"listeners"`
	// Admin is the path of a unix socket that shows the state of the process; there is none if left out.
	Admin string `yaml:"admin,omitempty"`
	// Pools of endpoints.
	Pools []Pool `yaml:"pools"`
	// Routes of requests to pools. A request that matches none is answered with 404.
	Routes []Route `yaml:"routes"`
}

// Limits of the process. The pools share the limits of requests, queued requests, connections and memory.
type Limits struct {
	// Cores that the process may use, 1 if left out.
	Cores float64 `yaml:"cores,omitempty"`
	// Memory in MB that the process may use, 64 if left out.
	MemoryMB int `yaml:"memory_mb,omitempty"`
	// Maximum number of descriptors of the process, 1024 if left out.
	Sockets int `yaml:"sockets,omitempty"`
	// Maximum number of pending requests in all pools; the upper bound and the default are seven eighths of the client connections.
	Requests int `yaml:"operations,omitempty"`
}

// Listener is an address that accepts connections.
type Listener struct {
	// Address to listen on, IP and port.
	Address string `yaml:"address"`
}

// Pool is a set of endpoints with a balancer of its own.
type Pool struct {
	// Name of the pool, in routes, logs and the admin socket.
	Name string `yaml:"name"`
	// Members are the source of the endpoint list.
	Members Members `yaml:"members"`
	// Classes of requests, at least one. A request that states no class has that of its route, or else the first class with its method.
	Classes []Class `yaml:"classes"`
	// Sidecars that send to the pool's endpoints, this one among them.
	Sidecars Sidecars `yaml:"sidecars,omitempty"`
	// Zone of this process; one of zones.
	Zone string `yaml:"zone,omitempty"`
	// Zones that endpoints may name.
	Zones []string `yaml:"zones,omitempty"`
	// Kinds of machines that endpoints may name.
	Kinds []string `yaml:"kinds,omitempty"`
	// Maximum number of attempts for one request, 3 if left out.
	Attempts int `yaml:"attempts,omitempty"`
	// RetryAfter is the largest Retry-After value sent to clients, 2s if left out.
	RetryAfter Duration `yaml:"retry_after,omitempty"`
	// Probes says whether health and load probes may be sent.
	Probes bool `yaml:"probes,omitempty"`
	// Reports of load that endpoints give.
	Reports Reports `yaml:"reports,omitempty"`
	// Slow start: the capacity of endpoints that have just started.
	SlowStart SlowStart `yaml:"cold,omitempty"`
	// Connections to the pool's endpoints.
	Connections Connections `yaml:"connections,omitempty"`
	// Shares of the process limits.
	Shares Shares `yaml:"shares,omitempty"`
	// Inner tier: the callers are services, not clients. No request is shed because its response is predicted to be late, since the work that the caller has done would be lost.
	InnerTier bool `yaml:"inner,omitempty"`
	// Chain is the header that services pass on with their calls; none is read or written if left out.
	Chain *Chain `yaml:"chain,omitempty"`
	// Origin is the header field that identifies whom a request comes from, for example a customer number. In overload, all sidecars reject the same origins for a minute.
	Origin string `yaml:"origin,omitempty"`
	// Retries of requests that may have run.
	Retries Retries `yaml:"retries,omitempty"`
}

// Chain limits what one client request may cost in all services that take part in answering it.
type Chain struct {
	// Header is the field that services pass on unchanged with each call that they make for a request.
	Header string `yaml:"header"`
	// Service is the name that requests carry from here on, the pool's if left out. A request that returns to a service it has passed is rejected with 508.
	Service string `yaml:"service,omitempty"`
	// Maximum number of services that a request may pass, 8 if left out.
	MaxHops int `yaml:"hops,omitempty"`
	// Maximum number of retries that one request may cause in all services together, 4 if left out.
	MaxRetries int `yaml:"repeats,omitempty"`
	// Retry a request on another endpoint when a downstream service has declined it, instead of passing the decline up.
	RetryDeclined bool `yaml:"repeat_declined,omitempty"`
}

// Retries is the budget of retries for requests that may have run; a retry of a request that never ran is not counted.
type Retries struct {
	// Share of retries in relation to first attempts, 0.125 if left out.
	Share float64 `yaml:"share,omitempty"`
	// Burst of retries that all sidecars together can save up, 64 if left out; each sidecar has at least one.
	Burst float64 `yaml:"burst,omitempty"`
}

// Members are the sources of an endpoint list: discovery or file for a sidecar; kitewood-control merges several.
type Members struct {
	// Discovery is the address of the platform's discovery, IP and port.
	Discovery string `yaml:"discovery,omitempty"`
	// File with the endpoint list. Changes are picked up; a relative path starts at the directory of the configuration file.
	File string `yaml:"file,omitempty"`
	// Etcd that kitewood-control watches.
	Etcd *Etcd `yaml:"etcd,omitempty"`
	// Merge says how kitewood-control merges the reports of its sources.
	Merge *Merge `yaml:"merge,omitempty"`
	// Serve is the address, IP and port, at which kitewood-control offers the merged list by the platform's discovery protocol.
	Serve string `yaml:"serve,omitempty"`
}

// Etcd is a key prefix in etcd. Each key below it is an endpoint, named by the rest of the key.
type Etcd struct {
	// Endpoints of the cluster's members, host and port or URL.
	Endpoints []string `yaml:"endpoints"`
	// Prefix of the keys, with its last slash.
	Prefix string `yaml:"prefix"`
	// Form of the values: kitewood (the default), or naming for the format of etcd's naming/endpoints package.
	Form string `yaml:"form,omitempty"`
	// User to authenticate as; no authentication if left out.
	User string `yaml:"user,omitempty"`
	// PasswordFile holds the user's password; a relative path starts at the directory of the configuration file.
	PasswordFile string `yaml:"password_file,omitempty"`
	// CA of the members' certificates, PEM; if given, the connections use TLS.
	CA string `yaml:"ca,omitempty"`
	// Certificate of this client, PEM, if the members require one.
	Certificate string `yaml:"certificate,omitempty"`
	// Key of the certificate, PEM.
	Key string `yaml:"key,omitempty"`
}

// Merge says how kitewood-control resolves conflicts between the sources of an endpoint list.
type Merge struct {
	// StaleAfter is how long after its loss a source still counts as evidence that an endpoint is ready, if another source is available; 30s if left out.
	StaleAfter Duration `yaml:"stale_after,omitempty"`
	// HoldBelow is a share of the endpoints that a source named before. A complete list with fewer is not accepted at once. 0.3 if left out.
	HoldBelow float64 `yaml:"hold_below,omitempty"`
	// HoldFor is how long the endpoints that such a list leaves out are kept, 10s if left out.
	HoldFor Duration `yaml:"hold_for,omitempty"`
	// Number of returns within a minute from which on an endpoint is held back, 4 if left out.
	FlapMax int `yaml:"flap_most,omitempty"`
	// FlapHold is how long a flapping endpoint is held back at first, 5s if left out; it doubles with each further return, up to a minute.
	FlapHold Duration `yaml:"flap_hold,omitempty"`
}

// Class is a class of requests.
type Class struct {
	// Name that requests state in X-Service-Class.
	Name string `yaml:"name"`
	// Methods of the class; if left out, GET for safe classes and POST for others.
	Methods []string `yaml:"methods,omitempty"`
	// Effect is safe (may be retried freely), keyed (endpoints deduplicate retries) or unsafe (must never run twice).
	Effect string `yaml:"effect"`
	// Window in which endpoints deduplicate retries of a keyed class.
	DedupWindow Duration `yaml:"window,omitempty"`
	// Latency target: a response within it earns the full utility.
	LatencyTarget Duration `yaml:"aim"`
	// Deadline of a request whose client states none.
	Deadline Duration `yaml:"deadline"`
	// Utility of a response in relation to other classes, 1 if left out.
	Utility float64 `yaml:"worth,omitempty"`
	// Share of the utility that a response later than the latency target still has.
	LateUtility float64 `yaml:"late_worth,omitempty"`
}

// Sidecars is this process's place among the sidecars that send to the same endpoints.
type Sidecars struct {
	// Index of this sidecar, from 0.
	Index int `yaml:"me,omitempty"`
	// Number of sidecars, 1 if left out.
	Count int `yaml:"of,omitempty"`
}

// Reports configures load reports.
type Reports struct {
	// Source of reports: answers, probes or none; none if left out. For kitewood-control it may be orca, which queries the endpoints out of band.
	Source string `yaml:"via,omitempty"`
	// Interval at which kitewood-control queries endpoints itself, 1s if left out.
	Interval Duration `yaml:"every,omitempty"`
	// Fields of a report: util, inflight, queue, qps, latency_ms, eps.
	Fields []string `yaml:"fields,omitempty"`
}

// SlowStart is the capacity of an endpoint that has just started.
type SlowStart struct {
	// Share of its capacity that an endpoint has when it starts, 0.2 if left out.
	Share float64 `yaml:"share,omitempty"`
	// Time until an endpoint has its full capacity, 20s if left out.
	Time Duration `yaml:"time,omitempty"`
	// Multiple of its current capacity that overloads an endpoint so that it fails, 2.5 if left out.
	OverloadMultiple float64 `yaml:"multiple,omitempty"`
	// Window for which that load has to last, 1.5s if left out.
	OverloadWindow Duration `yaml:"window,omitempty"`
}

// Connections configures the connections to endpoints.
type Connections struct {
	// Idle is how long endpoints keep an idle connection, 30s if left out.
	Idle Duration `yaml:"idle,omitempty"`
	// Timeout of connecting, 250ms if left out.
	Timeout Duration `yaml:"timeout,omitempty"`
}

// Shares of the process limits. If left out, the pools are guaranteed half of each limit, in equal parts.
type Shares struct {
	// Pending requests.
	Requests Share `yaml:"operations,omitempty"`
	// Pending requests that are queued for an endpoint; the limit is half that of pending requests.
	Queued Share `yaml:"parked,omitempty"`
	// Connections to endpoints.
	Connections Share `yaml:"connections,omitempty"`
	// Memory in KB for request bodies.
	MemoryKB Share `yaml:"memory_kb,omitempty"`
}

// Share is a pool's share of one limit.
type Share struct {
	// Guaranteed units. If others have borrowed them, the pool gets them back as units are released.
	Guaranteed int `yaml:"guaranteed,omitempty"`
	// Maximum number of units, borrowed ones included; all that are free if left out.
	Max int `yaml:"most,omitempty"`
}

// Route sends requests to a pool. A request matches if all given conditions hold.
type Route struct {
	// Hosts: names, names with a port, or wildcards such as *.example.org; any host if left out.
	Hosts []string `yaml:"hosts,omitempty"`
	// Path prefix, by whole segments.
	Path string `yaml:"path,omitempty"`
	// Exact path, instead of a prefix.
	Exact string `yaml:"exact,omitempty"`
	// Class that the request states.
	Class string `yaml:"class,omitempty"`
	// Headers with their values; an empty value requires only that the header is present.
	Headers map[string]string `yaml:"headers,omitempty"`
	// Pool that the request is sent to.
	Pool string `yaml:"pool"`
	// Class of requests that state none.
	DefaultClass string `yaml:"as,omitempty"`
}
