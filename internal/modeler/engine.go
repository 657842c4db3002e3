package modeler

import (
	"fmt"
	"sort"
	"time"

	"github.com/redwingpick/redwingpick/internal/hasher"
)

// Spec holds the speeds and sizes of an engine.
type Spec struct {
	MaxRunning      int           `yaml:"max_running"`
	AdapterSlots    int           `yaml:"adapter_slots"`
	StepBase        time.Duration `yaml:"step_base"`
	StepPerSequence time.Duration `yaml:"step_per_sequence"`
	StepPerAdapter  time.Duration `yaml:"step_per_adapter"`
	PrefillPerToken time.Duration `yaml:"prefill_per_token"`
	ColdFor         time.Duration `yaml:"cold_for"`
	ColdRunning     int           `yaml:"cold_running"`
	ColdSlowdown    float64       `yaml:"cold_slowdown"`
	ChecksFencing   bool          `yaml:"checks_fencing"`
	ReportLag       time.Duration `yaml:"report_lag"`
}

// DefaultSpec returns the speeds of a small accelerator.
func DefaultSpec() Spec {
	return Spec{
		MaxRunning:      32,
		AdapterSlots:    24,
		StepBase:        18 * time.Millisecond,
		StepPerSequence: 300 * time.Microsecond,
		StepPerAdapter:  400 * time.Microsecond,
		PrefillPerToken: 150 * time.Microsecond,
		ColdFor:         10 * time.Second,
		ColdRunning:     4,
		ColdSlowdown:    8,
	}
}

// Adapter names one version of one adapter.
type Adapter struct {
	Name    string
	Version uint32
}

// Sequence is one request in the batch.
type Sequence struct {
	ID        string
	Adapter   Adapter
	Prefill   int
	Next      int
	MaxTokens int
	Priority  int
}

// Token is one generated token.
type Token struct {
	ID      string
	Adapter Adapter
	Offset  int
	Last    bool
}

// Refusal is the error of an order that the engine has not carried out.
type Refusal string

// Reasons of a refusal.
const (
	RefusedNotLoaded Refusal = "not_loaded"
	RefusedFull      Refusal = "full"
	RefusedFence     Refusal = "fence"
)

// Error returns the reason.
func (r Refusal) Error() string { return string(r) }

// Engine is the state of one engine; it changes only through its methods, at the times they are given.
type Engine struct {
	Spec        Spec
	Incarnation uint64
	ColdUntil   time.Time
	Fence       uint64
	Adapters    map[Adapter]bool
	Sequences   map[string]*Sequence
	// Steps, SequenceSteps and Collapsed count for the measures.
	Steps         uint64
	SequenceSteps uint64
	Collapsed     uint64
	EvictedInUse  uint64
}

// NewEngine returns an engine that has just started, and so is cold and empty.
func NewEngine(spec Spec, incarnation uint64, now time.Time) *Engine {
	return &Engine{
		Spec:        spec,
		Incarnation: incarnation,
		ColdUntil:   now.Add(spec.ColdFor),
		Adapters:    map[Adapter]bool{},
		Sequences:   map[string]*Sequence{},
	}
}

// Restart empties the engine and makes it cold.
func (e *Engine) Restart(now time.Time) {
	e.Incarnation++
	e.ColdUntil = now.Add(e.Spec.ColdFor)
	e.Adapters = map[Adapter]bool{}
	e.Sequences = map[string]*Sequence{}
	e.Fence = 0
}

// TurnCold makes the engine cold without a restart.
func (e *Engine) TurnCold(now time.Time) {
	e.ColdUntil = now.Add(e.Spec.ColdFor)
}

// CheckFence refuses an order with a fencing number below the highest seen, if the engine checks at all.
func (e *Engine) CheckFence(fence uint64) error {
	if fence < e.Fence && e.Spec.ChecksFencing {
		return RefusedFence
	}
	e.Fence = max(e.Fence, fence)
	return nil
}

// Load makes an adapter resident, after evicting another if evict names one.
func (e *Engine) Load(adapter, evict Adapter) error {
	if evict.Name != "" && e.Adapters[evict] {
		if e.RunningOn(evict) > 0 {
			e.EvictedInUse++
		}
		delete(e.Adapters, evict)
	}
	if e.Adapters[adapter] {
		return nil
	}
	if len(e.Adapters) >= e.Spec.AdapterSlots {
		return RefusedFull
	}
	e.Adapters[adapter] = true
	return nil
}

// Start adds a sequence to the batch.
func (e *Engine) Start(s Sequence) error {
	if !e.Adapters[s.Adapter] {
		return RefusedNotLoaded
	}
	if len(e.Sequences) >= e.Spec.MaxRunning {
		return RefusedFull
	}
	e.Sequences[s.ID] = &s
	return nil
}

// Stop removes a sequence from the batch.
func (e *Engine) Stop(id string) {
	delete(e.Sequences, id)
}

// RunningOn returns the number of sequences on an adapter.
func (e *Engine) RunningOn(adapter Adapter) int {
	running := 0
	for _, s := range e.Sequences {
		if s.Adapter == adapter {
			running++
		}
	}
	return running
}

// StepTime returns how long the next step takes; above its cold limit a cold engine collapses.
func (e *Engine) StepTime(now time.Time) time.Duration {
	adapters := map[Adapter]bool{}
	prefill := 0
	for _, s := range e.Sequences {
		adapters[s.Adapter] = true
		prefill += s.Prefill
	}
	step := e.Spec.StepBase + time.Duration(len(e.Sequences))*e.Spec.StepPerSequence
	step += time.Duration(len(adapters)) * e.Spec.StepPerAdapter
	step += time.Duration(prefill) * e.Spec.PrefillPerToken
	if now.Before(e.ColdUntil) && len(e.Sequences) > e.Spec.ColdRunning {
		e.Collapsed++
		step = time.Duration(float64(step) * e.Spec.ColdSlowdown)
	}
	return step
}

// Step generates one token for each sequence of the batch.
func (e *Engine) Step() []Token {
	e.Steps++
	e.SequenceSteps += uint64(len(e.Sequences))
	ids := make([]string, 0, len(e.Sequences))
	for id := range e.Sequences {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	tokens := make([]Token, 0, len(ids))
	for _, id := range ids {
		s := e.Sequences[id]
		s.Prefill = 0
		last := s.Next+1 >= s.MaxTokens
		tokens = append(tokens, Token{ID: id, Adapter: s.Adapter, Offset: s.Next, Last: last})
		s.Next++
		if last {
			delete(e.Sequences, id)
		}
	}
	return tokens
}

// Text returns the token that an adapter generates at an offset for a prompt; it depends on nothing else.
func Text(adapter Adapter, prompt string, offset int) string {
	key := hasher.Key(fmt.Sprintf("%s@%d/%s/%d", adapter.Name, adapter.Version, prompt, offset))
	return fmt.Sprintf("%s.%d:%04x ", adapter.Name, adapter.Version, key&0xffff)
}
