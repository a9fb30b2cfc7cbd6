// Package soak holds tests that play real app servers against balancers, worker pools and networks that fail, and hold
// every request that was sent to the rules on sockets. It has no code of the program's own.
package soak
