// Package client calls a geraniumturn gateway: it asks the system which entry
// hosts to use, fails over between them, and sends a request again only when
// that is safe.
package client
