// Package model simulates the platform: instances, discovery, the front-end load balancer and clients. Each is a state
// machine without sockets, clocks, goroutines or files. Every event carries its time, counted from the start of the run,
// so the same model runs on sockets in real time and with thousands of instances in virtual time. The same seed and the
// same events produce the same actions.
package model
