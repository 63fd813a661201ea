package intake

import (
	"net/http"
	"strings"
)

// SentPath returns the path of a request that a server has read as it was sent, or "" if its
// target has none. Routes are chosen by it, since a decoded path may begin with the prefix of
// another route. URL.EscapedPath encodes some paths anew from the decoded one.
func SentPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") { // absolute form
		_, path, _ = strings.Cut(path, ":")
		if authority, ok := strings.CutPrefix(path, "//"); ok {
			path = authority[len(strings.SplitN(authority, "/", 2)[0]):]
		}
	}
	if !strings.HasPrefix(path, "/") {
		return ""
	}
	return path
}
