// Package ctl implements the commands of geraniumctl.
package ctl
