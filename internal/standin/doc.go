// Package standin implements a simulated target for the quickstart, tests and
// benchmarks: a model engine with continuous batching and a prefix cache, or a plain
// service that counts the executions of each request.
package standin
