package suspects

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/suspects/suspectspb"
)

// Service serves the RPCs by which hosts exchange entries.
type Service struct{ Table *Table }

// Push implements the drpc service.
func (s Service) Push(_ context.Context, in *suspectspb.Entries) (*suspectspb.PushResponse, error) {
	s.Table.Merge(time.Now(), in.GetEntries())
	return &suspectspb.PushResponse{}, nil
}

// Pull implements the drpc service.
func (s Service) Pull(_ context.Context, in *suspectspb.PullRequest) (*suspectspb.Entries, error) {
	now := time.Now()
	if s.Table.Digest(now) == in.GetDigest() {
		return &suspectspb.Entries{}, nil
	}
	return &suspectspb.Entries{Entries: s.Table.Entries(now)}, nil
}
