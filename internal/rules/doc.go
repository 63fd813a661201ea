// Package rules parses and checks the operators' rules file: one rule a line,
// each with a comment that names who asked for it. A file is accepted whole or
// not at all, and every problem is reported with its line number.
package rules
