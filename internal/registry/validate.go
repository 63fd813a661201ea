package registry

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"
)

// ErrInvalid is wrapped by every error about the content of a record.
var ErrInvalid = errors.New("registry: invalid record")

const (
	// MaxWarmup bounds the remaining warm-up of a target.
	MaxWarmup = 24 * time.Hour
	// maxNameBytes bounds the ID, the names and the version in a record.
	maxNameBytes = 256
	maxSlots     = 100_000
	// maxCounter is the largest integer that every JSON writer represents exactly. A
	// sequence or start beyond it would outrank all later heartbeats of its target.
	maxCounter = 1<<53 - 1
)

// Validate reports whether the record describes a target. The record of a target that
// has left needs no more than an ID.
func (r Record) Validate() error {
	if err := ValidateName(r.ID); err != nil {
		return fmt.Errorf("%w: ID %q: %v", ErrInvalid, shorten(r.ID), err)
	}
	if err := r.validate(); err != nil {
		return fmt.Errorf("%w: target %q: %v", ErrInvalid, r.ID, err)
	}
	return nil
}

func (r Record) validate() error {
	for _, f := range []struct {
		name, value string
		optional    bool
	}{{"service", r.Service, r.State == Left}, {"data centre", r.DataCentre, r.State == Left}, {"software", r.Software, true}, {"address", r.Address, true}} {
		if f.value == "" && f.optional {
			continue
		}
		if err := ValidateName(f.value); err != nil {
			return fmt.Errorf("%s %q: %v", f.name, shorten(f.value), err)
		}
	}
	switch {
	case r.StartMillis < 0 || r.StartMillis > maxCounter:
		return fmt.Errorf("start %d is out of range", r.StartMillis)
	case r.Sequence > maxCounter:
		return fmt.Errorf("sequence %d is out of range", r.Sequence)
	case r.Slots < 0 || r.Slots > maxSlots:
		return fmt.Errorf("%d slots are out of range", r.Slots)
	case r.State == Left:
		return nil
	case r.State != Ready && r.State != Draining:
		return fmt.Errorf("unknown state %d", r.State)
	}
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return err
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return fmt.Errorf("address %s accepts no connections", address)
	}
	return nil
}

// ValidateName reports whether a name can be passed on: protobuf refuses a whole message
// for one string that is not UTF-8.
func ValidateName(name string) error {
	switch {
	case name == "":
		return errors.New("missing")
	case len(name) > maxNameBytes:
		return fmt.Errorf("longer than %d bytes", maxNameBytes)
	case !utf8.ValidString(name):
		return errors.New("not UTF-8")
	}
	return nil
}

// shorten returns a prefix of an invalid name for an error message.
func shorten(name string) string { return name[:min(len(name), maxNameBytes)] }
