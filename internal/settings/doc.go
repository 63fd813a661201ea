// Package settings reads the start-up settings of one process from a TOML
// file. The whole file is validated before anything starts; an unknown key is
// an error that names the file and line. Configuration that can change at run
// time is in the rules file or the configuration document instead.
package settings
