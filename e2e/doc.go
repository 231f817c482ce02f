// Package e2e holds tests that run the binary as separate processes on loopback,
// inject failures and count the task starts that the targets recorded. G1 to G8 at
// the head of a test are the guarantees of the design page that it checks.
package e2e
