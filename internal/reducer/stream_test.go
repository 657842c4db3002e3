package reducer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

func TestFailureIsNotDeliveredAfterTheResponseHasBegun(t *testing.T) {
	f := newFixture(t)
	c := engineCatalogue()
	c.Routes[len(c.Routes)-1].Resumable = true
	c.Routes[len(c.Routes)-1].MaxAttempts = 2
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c})
	f.publishBackend(engine("e1"))
	f.publishBackend(engine("e2"))
	first := must[Dispatch](t, f.generate("1", ""))
	f.reduce(ResponseStarted{ID: "1", Attempt: 1})
	second := must[Dispatch](t, f.reduce(DispatchEnded{ID: "1", Backend: first.Backend, Attempt: 1, Outcome: OutcomeBroken, Delivered: true}))
	effects := f.reduce(DispatchEnded{ID: "1", Backend: second.Backend, Attempt: 2, Outcome: OutcomeFailed, Status: 500})
	_, delivered := find[DeliverFailure](effects)
	assert.Assert(t, !delivered)
	assert.Assert(t, must[Refuse](t, effects).MayHaveRun)
}

func TestStreamTimeoutAllowsForPrefill(t *testing.T) {
	f := newFixture(t)
	c := engineCatalogue()
	c.Routes[len(c.Routes)-1].Resumable = true
	c.Routes[len(c.Routes)-1].MaxAttempts = 2
	f.publish(cataloguer.Document{Key: "c", Kind: cataloguer.KindCatalogue, Raw: []byte("c"), Catalogue: c})
	f.publishBackend(engine("e1"))
	order := must[Dispatch](t, f.generate("1", ""))
	assert.Assert(t, order.ResponseHeaderTimeout >= 2*time.Second, "%v", order.ResponseHeaderTimeout)
}
