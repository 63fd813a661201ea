package routing

import (
	"errors"
	"fmt"
)

// ErrUnknownPolicy is returned for a policy name that does not exist.
var ErrUnknownPolicy = errors.New("routing: unknown policy")

// PolicyByName returns the target policy for a name in the settings. The empty name
// selects the default.
func PolicyByName(name string) (Policy, error) {
	switch name {
	case "", "affinity":
		return DefaultAffinity, nil
	case "random":
		return Random{}, nil
	case "round_robin":
		return &RoundRobin{}, nil
	case "least_in_flight":
		return LeastInFlight{}, nil
	case "least_reported":
		return LeastReported{}, nil
	case "two_choices":
		return TwoChoices{}, nil
	}
	return nil, fmt.Errorf("%w: target policy %q", ErrUnknownPolicy, name)
}

// DataCentrePolicyByName returns the data centre policy for a name in the settings. The
// empty name selects the default.
func DataCentrePolicyByName(name string) (DataCentrePolicy, error) {
	switch name {
	case "", "expected_time":
		return DefaultExpectedTime, nil
	case "always_local":
		return AlwaysLocal{}, nil
	case "least_loaded":
		return LeastLoaded{}, nil
	}
	return nil, fmt.Errorf("%w: data centre policy %q", ErrUnknownPolicy, name)
}
