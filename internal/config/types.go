// Package config is the product's own configuration: one process that fronts several services, each a pool with
// destinations, classes and limits of its own. docs/configuration.md documents it key by key.
package config

//go:generate go run ./schemagen ../../docs/configuration.schema.json

import "kitewood/internal/yamlfile"

// Duration is a span written as 500ms or 1m30s.
type Duration = yamlfile.Duration

// File is a whole configuration.
type File struct {
	// Name of this process, in logs.
	Name string `yaml:"name"`
	// Seed of all random choices, up to 16 hexadecimal digits; left out, it follows from the name.
	Seed string `yaml:"seed,omitempty"`
	// Limits of the whole process.
	Limits Limits `yaml:"limits,omitempty"`
	// Listeners are the listeners. All of them serve all routes.
	Listeners []Listener `yaml:"listeners"`
	// Admin is the path of a unix socket that shows the live state; left out, there is none.
	Admin string `yaml:"admin,omitempty"`
	// Pools are the services.
	Pools []Pool `yaml:"pools"`
	// Routes lead requests to pools. What no route fits is answered 404.
	Routes []Route `yaml:"routes"`
}

// Limits of the process. Pools share operations, parked, connections and memory.
type Limits struct {
	// Cores that the process may use, 1 if left out.
	Cores float64 `yaml:"cores,omitempty"`
	// MemoryMB the process may use, 64 if left out.
	MemoryMB int `yaml:"memory_mb,omitempty"`
	// Sockets are all descriptors of the process, 1024 if left out.
	Sockets int `yaml:"sockets,omitempty"`
	// Operations open at a time in all pools; at most, and if left out, seven eighths of the clients' connections.
	Operations int `yaml:"operations,omitempty"`
}

// Listener is a listener.
type Listener struct {
	// Address to listen on, IP and port.
	Address string `yaml:"address"`
}

// Pool is one service.
type Pool struct {
	// Name of the pool, in routes, logs and the admin socket.
	Name string `yaml:"name"`
	// Members tell where the list of destinations comes from.
	Members Members `yaml:"members"`
	// Classes of requests, at least one. A request that states none is of its route's class, or of the first that takes its method.
	Classes []Class `yaml:"classes"`
	// Sidecars that share the pool's destinations, this one among them.
	Sidecars Sidecars `yaml:"sidecars,omitempty"`
	// Zone that this process stands in; one of zones.
	Zone string `yaml:"zone,omitempty"`
	// Zones that destinations may name.
	Zones []string `yaml:"zones,omitempty"`
	// Kinds of machines that destinations may name.
	Kinds []string `yaml:"kinds,omitempty"`
	// Attempts for one operation at the most, 3 if left out.
	Attempts int `yaml:"attempts,omitempty"`
	// RetryAfter is the longest advice when to come back, 2s if left out.
	RetryAfter Duration `yaml:"retry_after,omitempty"`
	// Probes of health and load may be sent.
	Probes bool `yaml:"probes,omitempty"`
	// Reports of load that destinations give.
	Reports Reports `yaml:"reports,omitempty"`
	// Cold is how destinations are that have just started.
	Cold Cold `yaml:"cold,omitempty"`
	// Connections to the pool's destinations.
	Connections Connections `yaml:"connections,omitempty"`
	// Shares of the process's limits.
	Shares Shares `yaml:"shares,omitempty"`
	// Inner says that the callers are services, not clients: nothing is refused because answers are foretold late, as what the caller has done would be lost.
	Inner bool `yaml:"inner,omitempty"`
	// Chain is the word that services pass on with their calls; left out, none is read or written.
	Chain *Chain `yaml:"chain,omitempty"`
	// Origin is the header field that names whom a request comes from, such as a customer's number. In overload all sidecars refuse the same origins, for a minute.
	Origin string `yaml:"origin,omitempty"`
	// Retries of what may have run.
	Retries Retries `yaml:"retries,omitempty"`
}

// Chain is what a client's operation may cost in all services together.
type Chain struct {
	// Header is the field that services pass on as it is with each call that they make for a request.
	Header string `yaml:"header"`
	// Service is the name that operations carry from here on, the pool's if left out. One that comes back to it is refused with 508.
	Service string `yaml:"service,omitempty"`
	// Hops are the services that an operation may pass, 8 if left out.
	Hops int `yaml:"hops,omitempty"`
	// Repeats that one operation may cause in all services together, 4 if left out.
	Repeats int `yaml:"repeats,omitempty"`
	// RepeatDeclined has what a service below has declined tried elsewhere, instead of passed up.
	RepeatDeclined bool `yaml:"repeat_declined,omitempty"`
}

// Retries are repeats of what may have run; what never ran costs none.
type Retries struct {
	// Share of first attempts, 0.125 if left out.
	Share float64 `yaml:"share,omitempty"`
	// Burst that all sidecars together can save up, 64 if left out; each has one at the least.
	Burst float64 `yaml:"burst,omitempty"`
}

// Members are a list's sources: for a sidecar one, discovery or file; kitewood-control merges several.
type Members struct {
	// Discovery is the address of the platform's discovery, IP and port.
	Discovery string `yaml:"discovery,omitempty"`
	// File with the list. It is watched; relative paths start at the configuration's folder.
	File string `yaml:"file,omitempty"`
	// Etcd is followed by kitewood-control.
	Etcd *Etcd `yaml:"etcd,omitempty"`
	// Merge is how kitewood-control judges what its sources say.
	Merge *Merge `yaml:"merge,omitempty"`
	// Serve is the address, IP and port, at which kitewood-control offers the merged list by the platform's discovery protocol.
	Serve string `yaml:"serve,omitempty"`
}

// Etcd is a prefix of keys, each a destination whose name is the rest of the key.
type Etcd struct {
	// Endpoints of the cluster's members, host and port or URL.
	Endpoints []string `yaml:"endpoints"`
	// Prefix of the keys, with its last slash.
	Prefix string `yaml:"prefix"`
	// Form of the values: kitewood, if left out, or naming, as etcd's naming/endpoints package writes them.
	Form string `yaml:"form,omitempty"`
	// User that authenticates; left out, nobody does.
	User string `yaml:"user,omitempty"`
	// PasswordFile holds the user's password; relative paths start at the configuration's folder.
	PasswordFile string `yaml:"password_file,omitempty"`
	// CA of the members' certificates, PEM; with it the connections are TLS.
	CA string `yaml:"ca,omitempty"`
	// Certificate of this client, PEM, where members want one.
	Certificate string `yaml:"certificate,omitempty"`
	// Key of the certificate, PEM.
	Key string `yaml:"key,omitempty"`
}

// Merge is how sources that disagree are judged.
type Merge struct {
	// StaleAfter is how long after it was lost a source's good words count no longer if another is heard, 30s if left out.
	StaleAfter Duration `yaml:"stale_after,omitempty"`
	// HoldBelow is the share of what a source named before under which a whole list is not believed at once, 0.3 if left out.
	HoldBelow float64 `yaml:"hold_below,omitempty"`
	// HoldFor is how long what such a list leaves out stays, 10s if left out.
	HoldFor Duration `yaml:"hold_for,omitempty"`
	// FlapMost is the number of returns within a minute from which on a destination is held back, 4 if left out.
	FlapMax int `yaml:"flap_most,omitempty"`
	// FlapHold is how long it is held back first, 5s if left out; it doubles with each return, up to a minute.
	FlapHold Duration `yaml:"flap_hold,omitempty"`
}

// Class is a class of requests.
type Class struct {
	// Name that requests state in X-Service-Class.
	Name string `yaml:"name"`
	// Methods that it takes; left out, GET for safe classes and POST for others.
	Methods []string `yaml:"methods,omitempty"`
	// Effect is safe (may be repeated freely), keyed (destinations drop repeats) or unsafe (must never run twice).
	Effect string `yaml:"effect"`
	// Window in which destinations drop repeats of a keyed class.
	Window Duration `yaml:"window,omitempty"`
	// Aim: an answer within it earns the full worth.
	Aim Duration `yaml:"aim"`
	// Deadline: how long a client waits that does not say.
	Deadline Duration `yaml:"deadline"`
	// Worth of an answer against other classes, 1 if left out.
	Worth float64 `yaml:"worth,omitempty"`
	// LateWorth is the share of the worth that an answer after the aim still has.
	LateWorth float64 `yaml:"late_worth,omitempty"`
}

// Sidecars is this process's place among those that send to the same destinations.
type Sidecars struct {
	// Me is this one's number, from 0.
	Me int `yaml:"me,omitempty"`
	// Of is how many there are, 1 if left out.
	Of int `yaml:"of,omitempty"`
}

// Reports of load.
type Reports struct {
	// Via is answers, probes or none, none if left out. For kitewood-control it may be orca: it asks destinations out of band.
	Source string `yaml:"via,omitempty"`
	// Every is how often kitewood-control asks destinations that it asks itself, 1s if left out.
	Interval Duration `yaml:"every,omitempty"`
	// Fields of a report: util, inflight, queue, qps, latency_ms, eps.
	Fields []string `yaml:"fields,omitempty"`
}

// Cold is what a destination can do that has just started.
type Cold struct {
	// Share of its work at its start, 0.2 if left out.
	Share float64 `yaml:"share,omitempty"`
	// Time until it can do all of it, 20s if left out.
	Time Duration `yaml:"time,omitempty"`
	// Multiple of what it can do that tips it over, 2.5 if left out.
	Multiple float64 `yaml:"multiple,omitempty"`
	// Window that it must last for, 1.5s if left out.
	Window Duration `yaml:"window,omitempty"`
}

// Connections to destinations.
type Connections struct {
	// Idle is how long destinations keep an idle connection, 30s if left out.
	Idle Duration `yaml:"idle,omitempty"`
	// Timeout of a handshake, 250ms if left out.
	Timeout Duration `yaml:"timeout,omitempty"`
}

// Shares of the process's limits. Left out, half of each limit is guaranteed to the pools in equal parts.
type Shares struct {
	// Operations open at a time.
	Operations Share `yaml:"operations,omitempty"`
	// Parked are open operations that wait for a destination; there are half as many as operations.
	Parked Share `yaml:"parked,omitempty"`
	// Connections to destinations.
	Connections Share `yaml:"connections,omitempty"`
	// MemoryKB for bodies of requests.
	MemoryKB Share `yaml:"memory_kb,omitempty"`
}

// Share of one limit.
type Share struct {
	// Guaranteed units, which the pool gets back with the next that another gives back.
	Guaranteed int `yaml:"guaranteed,omitempty"`
	// Most units, borrowed ones included; left out, all that are idle.
	Max int `yaml:"most,omitempty"`
}

// Route leads requests to a pool. All conditions that are given have to fit.
type Route struct {
	// Hosts: names, names with a port, or wildcards such as *.example.org; left out, any.
	Hosts []string `yaml:"hosts,omitempty"`
	// Path prefix, by whole segments.
	Path string `yaml:"path,omitempty"`
	// Exact path, instead of a prefix.
	Exact string `yaml:"exact,omitempty"`
	// Class that the request states.
	Class string `yaml:"class,omitempty"`
	// Headers with their values; an empty value only wants the field to be there.
	Headers map[string]string `yaml:"headers,omitempty"`
	// Pool that the request goes to.
	Pool string `yaml:"pool"`
	// As is the class of requests that state none.
	DefaultClass string `yaml:"as,omitempty"`
}
