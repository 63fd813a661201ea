// Command geraniumturn is the gateway daemon. Each host runs one process.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/daemon"
	"geraniumturn.example/geraniumturn/internal/settings"
)

func main() {
	// SIGHUP terminates a Go process by default. The daemon reloads its settings on
	// SIGHUP once it runs; until then the signal is ignored, so that it does not abort
	// the start.
	signal.Ignore(syscall.SIGHUP)
	var path string
	var checkOnly bool
	flaggy.SetName("geraniumturn")
	flaggy.SetDescription("multi-region inference gateway")
	flaggy.String(&path, "s", "settings", "settings file (TOML)")
	flaggy.Bool(&checkOnly, "c", "check", "check the settings file and exit")
	flaggy.Parse()

	log := logrus.New()
	log.SetOutput(os.Stderr)
	if path == "" {
		path = os.Getenv(settingsVariable)
	}
	if path == "" {
		log.Fatal("--settings or the environment variable " + settingsVariable + " is required")
	}
	s, err := settings.Load(path)
	if err != nil {
		log.Fatal(err)
	}
	if checkOnly {
		return
	}
	if err := run(path, s, log); err != nil {
		log.Fatal(err)
	}
}

// settingsVariable is the environment variable with the path of the settings file; it
// applies when --settings is not given.
const settingsVariable = "GERANIUMTURN_BOOT"

func run(path string, s *settings.Settings, log *logrus.Logger) error {
	if s.Configuration == settings.SourceDocument {
		return daemon.RunDeployment(path, s, os.Stdout)
	}
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	return d.Run()
}
