package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/dispatcher"
	"github.com/redwingpick/redwingpick/internal/exampler"
)

// BenchmarkWarmRequest compares a warm request of one token through the daemons with a direct call to the engine.
func BenchmarkWarmRequest(b *testing.B) {
	f := startFleet(b, func(d *exampler.Deployment) { d.EngineCount = 1 })
	model := f.model("weddings", 0)
	client := f.client("weddings")
	answer, err := client.Complete(context.Background(), model, "warm", 1)
	assert.NilError(b, err)
	address := f.backendAddress(answer.BackendServer)
	b.Run("direct", func(b *testing.B) {
		for i := range b.N {
			generateDirectly(b, address, model, f.version(model), i)
		}
	})
	b.Run("through", func(b *testing.B) {
		for range b.N {
			_, err := client.Complete(context.Background(), model, "warm", 1)
			assert.NilError(b, err)
		}
	})
}

func generateDirectly(b *testing.B, address, model string, version uint32, i int) {
	body, err := json.Marshal(dispatcher.GenerateRequest{
		ID: fmt.Sprintf("direct-%d-%d", b.N, i), Adapter: model, Version: version, Prompt: "warm", PromptTokens: 1, MaxTokens: 1,
	})
	assert.NilError(b, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
	assert.NilError(b, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(b, err)
	assert.Equal(b, response.StatusCode, http.StatusOK)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
