package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Report writes the measures to the folder as JSON, as a Markdown table and as plots.
func Report(dir string, all []Measures) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "measures.json"), data, 0o644); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(Table(all)), 0o644); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return writePlots(dir, all)
}

// Table formats the measures as a Markdown table with one row per run.
func Table(all []Measures) string {
	var b strings.Builder
	b.WriteString("| scenario | policy | requests | whole | first byte p50 / p95 / p99 (ms) | whole p99 (ms) | sent away | cached prompt | slot s per 1,000 tokens | worst p99 (ms) | worst answered | refused within rate | repeated |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, m := range all {
		fmt.Fprintf(&b, "| %s | %s | %d | %.2f %% | %s / %s / %s | %s | %.1f %% | %.1f %% | %.2f | %s (%s) | %.2f %% %s | %.2f %% | %d |\n",
			m.Scenario, m.Policy, m.Requests, 100*ratio(float64(m.Completed), float64(m.Requests)),
			formatMillis(m.FirstByteP50), formatMillis(m.FirstByteP95), formatMillis(m.FirstByteP99), formatMillis(m.TotalP99), 100*m.SentAwayShare,
			100*m.CachedShare, m.SlotSecondsPer1000, formatMillis(m.WorstFirstByteP99), m.WorstLatencyWorkspace,
			100*m.WorstAnsweredShare, m.WorstAnsweredWorkspace, 100*m.RefusedWithinShare, m.OperationsRepeated)
	}
	return b.String()
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}

// writePlots writes one bar chart per measure and scenario.
func writePlots(dir string, all []Measures) error {
	charts := []struct {
		name, title string
		value       func(Measures) float64
	}{
		{"first-byte-p99", "first byte p99, interactive (ms)", func(m Measures) float64 { return m.FirstByteP99.Seconds() * 1000 }},
		{"worst-p99", "worst-served workspace, first byte p99 (ms)", func(m Measures) float64 { return m.WorstFirstByteP99.Seconds() * 1000 }},
		{"refused-within-rate", "refused within rate (%)", func(m Measures) float64 { return 100 * m.RefusedWithinShare }},
		{"sent-away", "sent away (%)", func(m Measures) float64 { return 100 * m.SentAwayShare }},
		{"cost", "slot seconds per 1,000 output tokens", func(m Measures) float64 { return m.SlotSecondsPer1000 }},
	}
	for _, scenario := range scenarioNames(all) {
		for _, c := range charts {
			path := filepath.Join(dir, scenario+"-"+c.name+".png")
			if err := saveBarChart(path, scenario+": "+c.title, measuresOf(all, scenario), c.value); err != nil {
				return err
			}
		}
	}
	return nil
}

func scenarioNames(all []Measures) []string {
	var out []string
	seen := map[string]bool{}
	for _, m := range all {
		if !seen[m.Scenario] {
			seen[m.Scenario] = true
			out = append(out, m.Scenario)
		}
	}
	return out
}

func measuresOf(all []Measures, scenario string) []Measures {
	var out []Measures
	for _, m := range all {
		if m.Scenario == scenario {
			out = append(out, m)
		}
	}
	return out
}

func saveBarChart(path, title string, rows []Measures, value func(Measures) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, m := range rows {
		values = append(values, value(m))
		names = append(names, m.Policy)
	}
	chart, err := plotter.NewBarChart(values, vg.Points(25))
	if err != nil {
		return fmt.Errorf("bench: plot: %w", err)
	}
	p.Add(chart)
	p.NominalX(names...)
	if err := p.Save(vg.Length(5+3*len(rows))*vg.Centimeter, 9*vg.Centimeter, path); err != nil {
		return fmt.Errorf("bench: plot: %w", err)
	}
	return nil
}
