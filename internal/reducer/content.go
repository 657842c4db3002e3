package reducer

import (
	"strconv"
	"strings"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

const (
	// maxContentName is the length in bytes up to which content has its own name; a longer one is hashed, since hosts remember many names.
	maxContentName = 64
	// maxLoggedContent bounds the names of content in one log line.
	maxLoggedContent = 32
)

// contentName returns the name of some content by its kind and ID.
func contentName(kind, id string) string {
	if len(id) > maxContentName {
		id = "#" + strconv.FormatUint(hasher.Key(id), 16)
	}
	return kind + "/" + id
}

// Content returns the names of the content of a request that other requests may share and that may crash a backend server: its adapter in the
// requested version, and the parts of its prompt but for the last, which belongs to the request itself.
func (r *Request) Content() []string {
	return r.firstContent(len(r.Parts))
}

// firstContent returns the names of the content of a request, with at most the given number of prompt parts.
func (r *Request) firstContent(parts int) []string {
	parts = min(max(len(r.Parts)-1, 0), parts)
	names := make([]string, 0, parts+2)
	if r.Adapter.Adapter != "" {
		names = append(names, contentName("adapter", r.Adapter.Model+"/"+r.Adapter.Adapter+"@"+strconv.FormatInt(r.Version, 10)))
	}
	for _, part := range r.Parts[:parts] {
		names = append(names, contentName("part", part.ID))
	}
	return names
}

// ownContent returns the name of what belongs to the request itself, and which its caller sends again with each try: the last part of its prompt, or
// the request as a whole if it has no prompt.
func (r *Request) ownContent() (name string, ok bool) {
	if len(r.Parts) > 0 {
		return contentName("own", r.Parts[len(r.Parts)-1].ID), true
	}
	if r.Fingerprint == 0 {
		return "", false
	}
	return requestContent + strconv.FormatUint(r.Fingerprint, 16), true
}

// requestContent begins the names of requests that are content as a whole.
const requestContent = "request/"

// AllContent returns the names of the content of a request, with that which no other request shares.
func (r *Request) AllContent() []string {
	names := r.Content()
	if own, ok := r.ownContent(); ok {
		names = append(names, own)
	}
	return names
}

// loggedContent returns the first names of the content of a request, and the number of the others.
func (r *Request) loggedContent() string {
	names := r.firstContent(maxLoggedContent)
	if own, ok := r.ownContent(); ok && len(r.Parts) == 0 {
		names = append(names, own)
	}
	text := strings.Join(names, ",")
	if left := len(r.Parts) - 1 - maxLoggedContent; left > 0 {
		text += ",+" + strconv.Itoa(left)
	}
	return text
}

// contentKey identifies the content of a request that no other request shares: the last part of its prompt, or else the request itself.
func (r *Request) contentKey() uint64 {
	switch {
	case len(r.Parts) > 0:
		return hasher.Key(r.Parts[len(r.Parts)-1].ID)
	case r.Fingerprint != 0:
		return r.Fingerprint
	}
	return hasher.Key(r.CallerID)
}
