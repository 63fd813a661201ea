package rules

import "strings"

// Change is one added or removed rule line.
type Change struct {
	// Added is false for a removed line.
	Added bool
	Line  string
}

func (c Change) String() string {
	if c.Added {
		return "+ " + c.Line
	}
	return "- " + c.Line
}

// Diff lists the rule lines that differ between two files, removed lines
// first. The order of lines, blank lines and comment lines do not matter.
func Diff(before, after string) []Change {
	old, current := ruleLines(before), ruleLines(after)
	changes := missing(old, current, false)
	return append(changes, missing(current, old, true)...)
}

func missing(from, in []string, added bool) []Change {
	count := map[string]int{}
	for _, l := range in {
		count[l]++
	}
	var out []Change
	for _, l := range from {
		if count[l] > 0 {
			count[l]--
			continue
		}
		out = append(out, Change{Added: added, Line: l})
	}
	return out
}

func ruleLines(text string) []string {
	var lines []string
	for _, l := range strings.Split(text, "\n") {
		l = strings.Join(strings.Fields(l), " ")
		if l != "" && !strings.HasPrefix(l, "#") {
			lines = append(lines, l)
		}
	}
	return lines
}
