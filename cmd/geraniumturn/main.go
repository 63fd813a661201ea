// Command geraniumturn is the daemon: one process per host.
package main

import (
	"os"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/daemon"
	"geraniumturn.example/geraniumturn/internal/settings"
)

func main() {
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
		log.Fatal("--settings is required")
	}
	s, err := settings.Load(path)
	if err != nil {
		log.Fatal(err)
	}
	if checkOnly {
		return
	}
	d, err := daemon.New(s, log)
	if err != nil {
		log.Fatal(err)
	}
	if err := d.Run(); err != nil {
		log.Fatal(err)
	}
}
