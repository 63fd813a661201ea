// Command geraniumctl is the command-line client for operators and testers.
package main

import (
	"fmt"
	"os"
	"strings"

	"geraniumturn.example/geraniumturn/internal/ctl"
)

func main() {
	if err := ctl.Run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "geraniumctl:", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(1)
	}
}
