// Package emulator plays a scenario on loopback sockets: the model's instances, discovery, front layer and clients stand
// round real kitewood processes and speak the platform's protocol with them. Whatever reaches a stand-in goes into the
// ledger.
package emulator
