// Package model is the lab's picture of the platform: instances, discovery, the front layer and clients, each a state
// machine that knows no socket, clock, goroutine or file. Time is an argument of every event, counted from the start of
// the run, so that one model runs on sockets in real time and with thousands of instances in virtual time. The same
// seed and the same events give the same actions.
package model
