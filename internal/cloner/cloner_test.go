package cloner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type node struct {
	Name  string
	At    time.Time
	Parts []string
	Next  *node
	ByKey map[string]*node
}

// Guards against a copy that shares anything with its original that a decision changes.
func TestCloneSharesNothing(t *testing.T) {
	original := &node{Name: "a", At: time.Unix(1, 0), Parts: []string{"p"}, Next: &node{}, ByKey: map[string]*node{"k": {Name: "b"}}}
	clone := Clone(original)
	assert.DeepEqual(t, clone, original)
	clone.Parts[0], clone.Next.Name, clone.ByKey["k"].Name = "x", "x", "x"
	clone.ByKey["new"] = &node{}
	assert.DeepEqual(t, original, &node{Name: "a", At: time.Unix(1, 0), Parts: []string{"p"}, Next: &node{}, ByKey: map[string]*node{"k": {Name: "b"}}})
}
