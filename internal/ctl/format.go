package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"geraniumturn.example/geraniumturn/internal/timeline"
)

// printJSON writes a list with one item per line, and any other value indented.
func printJSON(w io.Writer, v any) error {
	list, ok := v.([]any)
	if !ok {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	for _, item := range list {
		if err := json.NewEncoder(w).Encode(item); err != nil {
			return err
		}
	}
	return nil
}

func formatEvent(e timeline.Event) string {
	at := time.UnixMilli(e.Stamp.WallMS).UTC().Format("15:04:05.000")
	parts := []string{fmt.Sprintf("%s.%d", at, e.Stamp.Counter), e.Host, e.Kind}
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", e.Request)
	add("workspace", e.Workspace)
	add("target", e.Target)
	if e.Revision > 0 {
		add("revision", fmt.Sprint(e.Revision))
	}
	add("detail", e.Detail)
	return strings.Join(parts, " ")
}
