// Package proof holds the tests that run the real binaries under faults. A number such
// as G10 in a comment is that of the guarantee that the test checks.
package proof
