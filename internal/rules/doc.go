// Package rules parses and validates the operators' rules file. Each line holds one
// rule with a comment that names its requester. A file with any error is rejected
// as a whole, and every error is reported with its line number.
package rules
