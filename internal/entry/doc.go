// Package entry serves HTTP: callers' requests, discovery, announcements of
// targets, and operators. It checks a request from its headers before it reads
// the body.
package entry
