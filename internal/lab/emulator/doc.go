// Package emulator plays a scenario on loopback sockets: the model's instances, discovery, front-end load balancer and clients
// surround real kitewood processes and speak the platform's protocol with them. Everything that reaches an emulated component
// is recorded in the ledger.
package emulator
