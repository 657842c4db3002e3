package executor

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// TestForgetLeavesLaterReply covers a request that comes again under its id while its earlier run is ending: the end of
// the earlier one cancelled the later one.
func TestForgetLeavesLaterReply(t *testing.T) {
	var replies Replies
	earlier := replies.Register(context.Background(), "a")
	later := replies.Register(context.Background(), "a")
	replies.Forget("a", earlier)
	assert.NilError(t, later.Context.Err())
	assert.Assert(t, replies.Deliver("a", reducer.SetReady{}))
	replies.Forget("a", later)
	assert.Assert(t, !replies.Deliver("a", reducer.SetReady{}))
}
