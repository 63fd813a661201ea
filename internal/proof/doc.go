// Package proof holds the tests that run the real binaries under faults.
package proof
