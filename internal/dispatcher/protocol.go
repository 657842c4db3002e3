package dispatcher

// Names of the headers that engines and services read and answer.
const (
	HeaderFence       = "X-Fence"
	HeaderIncarnation = "X-Incarnation"
	HeaderRequestID   = "X-Request-Id"
	HeaderAccount     = "X-Client-Account"
)

// GenerateRequest is the body of an order to generate.
type GenerateRequest struct {
	ID           string `json:"id"`
	Adapter      string `json:"adapter"`
	Version      uint32 `json:"version"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt_tokens"`
	MaxTokens    int    `json:"max_tokens"`
	Priority     int    `json:"priority"`
	Offset       int    `json:"offset"`
	Prefix       string `json:"prefix,omitempty"`
}

// GenerateEvent is one event of the stream that an engine answers with.
type GenerateEvent struct {
	ID      string `json:"id"`
	Adapter string `json:"adapter"`
	Version uint32 `json:"version"`
	Offset  int    `json:"offset"`
	Text    string `json:"text"`
	Done    bool   `json:"done"`
}

// LoadRequest is the body of an order to load an adapter.
type LoadRequest struct {
	Name         string `json:"name"`
	Version      uint32 `json:"version"`
	EvictName    string `json:"evict_name,omitempty"`
	EvictVersion uint32 `json:"evict_version,omitempty"`
}

// StateResponse is what a backend server reports of itself.
type StateResponse struct {
	Incarnation uint64            `json:"incarnation"`
	Running     int               `json:"running"`
	Fence       uint64            `json:"fence"`
	Adapters    []AdapterResponse `json:"adapters"`
}

// AdapterResponse is one resident adapter in a StateResponse.
type AdapterResponse struct {
	Name    string `json:"name"`
	Version uint32 `json:"version"`
	Running int    `json:"running"`
}
