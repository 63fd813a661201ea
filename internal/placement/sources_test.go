package placement

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a fetch from the chosen target itself, and against a source other than
// the first target with the longest cached prefix.
func TestFetchSourcesExcluding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cached := rapid.SliceOfN(rapid.Int64Range(0, 4), 1, 8).Draw(t, "tokens")
		targets := make([]*Target, len(cached))
		var s fetchSources
		for i, tokens := range cached {
			targets[i] = &Target{}
			s.add(targets[i], tokens)
		}
		for chosen := range targets {
			var want fetchSource
			for i, tokens := range cached {
				if i != chosen && tokens > want.tokens {
					want = fetchSource{targets[i], tokens}
				}
			}
			if got := s.excluding(targets[chosen]); got != want {
				t.Fatalf("target %d of %v: got %d tokens, want %d", chosen, cached, got.tokens, want.tokens)
			}
		}
	})
}
