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
	// defaultMaxTokens is the output that is reserved when a body has no max_tokens.
	defaultMaxTokens = 1024
	maxMaxTokens     = 1 << 24
	// bytesPerToken estimates the prompt tokens before the request runs. The charge
	// is settled by the number that the engine reports.
	bytesPerToken = 4
	// prefixBlockBytes is the length difference of successive prefixes, about 256
	// tokens.
	prefixBlockBytes = 1024
	maxPrefixBlocks  = 64
)

// engineBody is the part of a chat or completion body that the gateway reads.
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
		return nil, refusal.New(refusal.InvalidRequest, refusal.NotRun, "body is not a valid JSON object: %v", err)
	}
	if body.Model == "" {
		return nil, refusal.New(refusal.InvalidRequest, refusal.NotRun, "model is missing")
	}
	if body.MaxTokens != nil && (*body.MaxTokens < 1 || *body.MaxTokens > maxMaxTokens) {
		return nil, refusal.New(refusal.InvalidRequest, refusal.NotRun, "max_tokens must be from 1 to %d", maxMaxTokens)
	}
	return &body, nil
}

// promptBytes returns the raw JSON of the prompt, from whose length its tokens are
// estimated.
func (b *engineBody) promptBytes() []byte {
	if len(b.Messages) > 0 {
		return b.Messages
	}
	return b.Prompt
}

func (b *engineBody) tokenCost() int64 {
	output := int64(defaultMaxTokens)
	if b.MaxTokens != nil {
		output = *b.MaxTokens
	}
	return int64(len(b.promptBytes())/bytesPerToken) + 1 + output
}

// prefixDigests returns digests of prompt prefixes of increasing length. They are
// salted with the model, since prefix caches are per model.
func (b *engineBody) prefixDigests() []uint64 {
	text := b.promptBytes()
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

// bearer returns the bearer token of the Authorization header, or "".
func bearer(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// maxUnescapePasses is how many layers of percent encoding are decoded.
const maxUnescapePasses = 3

// refuseLeakedKey refuses a request that has the caller's token in the path, the
// query or a header that is passed on, since targets must not see keys. The request
// is refused rather than cleaned, so that the caller notices the mistake.
func refuseLeakedKey(r *http.Request, token string, header map[string]string) error {
	if token == "" {
		return nil
	}
	_, secret, err := keys.Parse(token)
	if err != nil {
		secret = token
	}
	values := []string{r.URL.EscapedPath(), r.URL.RawQuery}
	for _, value := range header {
		values = append(values, value)
	}
	for _, value := range values {
		if containsSecret(value, secret) {
			return refusal.New(refusal.InvalidRequest, refusal.NotRun, "the key may only be sent in the Authorization header")
		}
	}
	return nil
}

// containsSecret reports whether the text contains the secret, plain or
// percent-encoded.
func containsSecret(text, secret string) bool {
	for range maxUnescapePasses {
		if strings.Contains(strings.ToLower(text), strings.ToLower(secret)) {
			return true
		}
		unescaped, err := url.QueryUnescape(text)
		if err != nil || unescaped == text {
			return false
		}
		text = unescaped
	}
	return strings.Contains(text, secret)
}
