package fleet

import (
	"context"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

// Service answers pulls of the published state from this host's copy.
type Service struct{ Copy *Copy }

// Pull implements the drpc service.
func (s Service) Pull(_ context.Context, in *fleetpb.PullRequest) (*fleetpb.PullResponse, error) {
	view := s.Copy.View()
	if view.Index <= in.GetIndex() {
		return &fleetpb.PullResponse{}, nil
	}
	return &fleetpb.PullResponse{State: view.State}, nil
}
