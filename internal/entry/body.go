package entry

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"

	"geraniumturn.example/geraniumturn/internal/keys"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

const (
	// defaultMaxTokens is reserved when a body gives no max_tokens.
	defaultMaxTokens = 1024
	maxMaxTokens     = 1 << 24
	// bytesPerToken estimates prompt tokens from bytes; engines report the
	// real number in usage, by which the charge is settled.
	bytesPerToken = 4
	// prefixBlockBytes is the step of prefix digests, about 256 tokens.
	prefixBlockBytes = 1024
	maxPrefixBlocks  = 64
)

// engineBody is what the system reads of a chat or completion body.
type engineBody struct {
	Model     string          `json:"model"`
	MaxTokens *int64          `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

func parseEngineBody(data []byte) (*engineBody, error) {
	var body engineBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, refusal.New(refusal.InvalidRequest, refusal.NotRun, "body is no valid JSON object: %v", err)
	}
	if body.Model == "" {
		return nil, refusal.New(refusal.InvalidRequest, refusal.NotRun, "model is missing")
	}
	if body.MaxTokens != nil && (*body.MaxTokens < 1 || *body.MaxTokens > maxMaxTokens) {
		return nil, refusal.New(refusal.InvalidRequest, refusal.NotRun, "max_tokens must be from 1 to %d", maxMaxTokens)
	}
	return &body, nil
}

// text is the prompt as it was sent; its bytes stand for its tokens.
func (b *engineBody) text() []byte {
	if len(b.Messages) > 0 {
		return b.Messages
	}
	return b.Prompt
}

func (b *engineBody) cost() int64 {
	output := int64(defaultMaxTokens)
	if b.MaxTokens != nil {
		output = *b.MaxTokens
	}
	return int64(len(b.text())/bytesPerToken) + 1 + output
}

// prefixes returns digests of the prompt's growing prefixes, shortest first,
// salted with the model, since caches are per model.
func (b *engineBody) prefixes() []uint64 {
	text := b.text()
	digest := xxhash.New()
	_, _ = digest.WriteString(b.Model)
	var out []uint64
	for len(text) >= prefixBlockBytes && len(out) < maxPrefixBlocks {
		_, _ = digest.Write(text[:prefixBlockBytes])
		out = append(out, digest.Sum64())
		text = text[prefixBlockBytes:]
	}
	return out
}

// bearer returns the caller's key. Only the Authorization header counts.
func bearer(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// maxEscapes is how many layers of percent encoding are looked through.
const maxEscapes = 3

// refuseLeak refuses a request that carries the caller's token where it would
// reach a target: in the path, the query or a header that is passed on. Targets
// must not see keys, and a caller that sends one there should learn of it.
func refuseLeak(r *http.Request, token string, header map[string]string) error {
	if token == "" {
		return nil
	}
	_, secret, err := keys.Parse(token)
	if err != nil {
		secret = token
	}
	places := []string{r.URL.EscapedPath(), r.URL.RawQuery}
	for _, value := range header {
		places = append(places, value)
	}
	for _, place := range places {
		if reveals(place, secret) {
			return refusal.New(refusal.InvalidRequest, refusal.NotRun, "the key may only be sent in the Authorization header")
		}
	}
	return nil
}

// reveals reports whether the text holds the secret, also percent-encoded.
func reveals(text, secret string) bool {
	for range maxEscapes {
		if strings.Contains(strings.ToLower(text), strings.ToLower(secret)) {
			return true
		}
		plain, err := url.QueryUnescape(text)
		if err != nil || plain == text {
			return false
		}
		text = plain
	}
	return strings.Contains(text, secret)
}
