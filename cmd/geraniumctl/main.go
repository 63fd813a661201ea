// Command geraniumctl is the command-line client for operators and testers.
package main

import (
	"fmt"
	"os"
	"strings"

	"geraniumturn.example/geraniumturn/internal/ctl"
	"geraniumturn.example/geraniumturn/platform"
)

func main() {
	decoder := platform.ConfigurationDecoder{}
	err := ctl.Run(os.Args[1:], os.Stdout, ctl.Documents{MaxBytes: platform.MaxConfigurationBytes, Decode: decoder.Decode, Locate: decoder.Locate, Read: platform.ReadConfiguration})
	if err != nil {
		fmt.Fprintln(os.Stderr, "geraniumctl:", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(ctl.ExitCode(err))
	}
}
