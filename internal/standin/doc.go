// Package standin is a simulated target for first tries, tests and
// measurements: a model engine that batches and caches prefixes, or a plain
// service that counts how often each request ran.
package standin
