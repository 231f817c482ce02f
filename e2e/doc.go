// Package e2e holds tests that run the binary as real processes on loopback,
// bring about failures and count starts in the targets' own records.
package e2e
