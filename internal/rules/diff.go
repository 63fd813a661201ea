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

// Diff lists the rule lines that differ between two files, removed lines first. It
// ignores the order of lines, spacing, blank lines and comment lines.
func Diff(before, after string) []Change {
	old, current := ruleLines(before), ruleLines(after)
	changes := linesNotIn(old, current, false)
	return append(changes, linesNotIn(current, old, true)...)
}

// linesNotIn returns the lines that occur more often than in reference, as added or
// removed lines.
func linesNotIn(lines, reference []string, added bool) []Change {
	count := map[string]int{}
	for _, l := range reference {
		count[l]++
	}
	var out []Change
	for _, l := range lines {
		if count[l] > 0 {
			count[l]--
			continue
		}
		out = append(out, Change{Added: added, Line: l})
	}
	return out
}

// ruleLines returns the lines that hold a rule, with normalised spacing.
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
