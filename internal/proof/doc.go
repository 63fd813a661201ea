// Package proof holds the tests that run the real binaries under faults and check the
// guarantees of the gateway.
package proof
