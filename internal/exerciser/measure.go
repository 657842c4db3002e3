package exerciser

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingpick/redwingpick/internal/exampler"
	"github.com/redwingpick/redwingpick/internal/limiter"
	"github.com/redwingpick/redwingpick/internal/modeler"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/selector"
)

// Row is one measure of one policy in one deployment.
type Row struct {
	Deployment string
	Measure    string
	Policy     string
	Unit       string
	Value      float64
	Seed       uint64
}

// Measures runs the five measures of one deployment for the policy P.
type Measures[P selector.Policy] struct {
	Deployment exampler.Deployment
	Policy     string
	Seed       uint64
}

const (
	// settleFor is the time from the start of a run until its calls begin.
	settleFor = 25 * time.Second
	// warmFor is the time of calls that is not measured.
	warmFor = 5 * time.Minute
	// domainFor is how long a failure domain stays out, and how long the run goes on before and after.
	domainFor = time.Minute
	// zipfSkew makes a few adapters hot and most of them rare.
	zipfSkew = 1.4
	// hotSkew puts most calls of an account on a few adapters, so that accounts meet on the same engines.
	hotSkew = 2.5
	// shiftEvery is how often the popularity moves without notice.
	shiftEvery = 40 * time.Second
)

func (m Measures[P]) options() Options {
	engine := modeler.DefaultSpec()
	engine.ReportLag = 300 * time.Millisecond
	latency := 500 * time.Microsecond
	if m.Deployment.Name == exampler.TsagaanTsuivan().Name {
		latency = 1400 * time.Microsecond
	}
	return Options{
		Seed: m.Seed, Shards: m.Deployment.Shards(20000), Engine: engine, Limits: reducer.DefaultLimits(),
		Latency: latency, Jitter: 500 * time.Microsecond, ServiceTime: 30 * time.Millisecond,
	}
}

// load shares a number of calls a second among the accounts by their rates.
func (m Measures[P]) load(perSecond float64) *Workload {
	load := &Workload{
		Rate: map[string]float64{}, Skew: zipfSkew, ShiftEvery: shiftEvery, PromptTokens: 60, MaxTokens: 80,
		Timeout: 30 * time.Second, Service: m.Deployment.Services,
	}
	total := 0.0
	for _, a := range m.Deployment.Accounts {
		total += a.Rate
	}
	for _, a := range m.Deployment.Accounts {
		load.Rate[a.ID] = perSecond * a.Rate / total
	}
	return load
}

func (m Measures[P]) row(measure, unit string, value float64) Row {
	return Row{Deployment: m.Deployment.Name, Measure: measure, Policy: m.Policy, Unit: unit, Value: value, Seed: m.Seed}
}

// totals is what the counters of all hosts add up to.
type totals struct {
	arrived, stalls, stallMs float64
	steps, sequenceSteps     float64
}

func (w *World[P]) totals() totals {
	var t totals
	for _, h := range w.Hosts {
		c := h.State.Counters
		t.arrived += float64(c.RequestsArrived - c.Forwards)
		t.stalls += float64(c.LoadStalls)
		t.stallMs += float64(c.LoadStallMillis)
	}
	for _, e := range w.Engines {
		t.steps += float64(e.Model.Steps)
		t.sequenceSteps += float64(e.Model.SequenceSteps)
	}
	return t
}

// Loads measures load stalls and batch efficiency on the Zipf workload with shifts.
func (m Measures[P]) Loads(perSecond float64, d time.Duration) []Row {
	w := New[P](m.options())
	w.Callers.Retries = 6
	w.Run(settleFor)
	w.Begin(m.load(perSecond), w.Now.Add(warmFor+d))
	w.Run(warmFor)
	before := w.totals()
	calls := len(w.Callers.Calls)
	w.Run(d + 30*time.Second)
	after := w.totals()
	thousand := float64(len(w.Callers.Calls)-calls) / 1000
	_, all := w.firstTokens(w.Callers.Calls[calls:])
	return []Row{
		m.row("load stalls", "requests per 1,000", (after.stalls-before.stalls)/thousand),
		m.row("load stalls", "seconds waited per 1,000", (after.stallMs-before.stallMs)/1000/thousand),
		m.row("load stalls", "p95 first token ms", all),
		m.row("batch efficiency", "sequences per step", (after.sequenceSteps-before.sequenceSteps)/max(after.steps-before.steps, 1)),
		m.row("safety", "violations", float64(len(w.Finish()))),
	}
}

// firstTokens returns the p95 time to the first token in milliseconds, by account and over all; no answer counts as the timeout.
func (w *World[P]) firstTokens(calls []*Call) (byAccount map[string]float64, all float64) {
	histograms := map[string]*hdrhistogram.Histogram{}
	total := hdrhistogram.New(1, 120_000, 3)
	for _, c := range calls {
		if c.Service != "" {
			continue
		}
		if histograms[c.Account] == nil {
			histograms[c.Account] = hdrhistogram.New(1, 120_000, 3)
		}
		waited := c.Timeout
		if !c.FirstToken.IsZero() {
			waited = c.FirstToken.Sub(c.SentAt)
		}
		ms := max(min(waited.Milliseconds(), 120_000), 1)
		_ = histograms[c.Account].RecordValue(ms)
		_ = total.RecordValue(ms)
	}
	byAccount = map[string]float64{}
	for account, h := range histograms {
		byAccount[account] = float64(h.ValueAtQuantile(95))
	}
	return byAccount, float64(total.ValueAtQuantile(95))
}

// Fairness measures the worst-served client account while another sends four times its rate.
func (m Measures[P]) Fairness(perSecond float64, d time.Duration) []Row {
	w := New[P](m.options())
	w.Callers.Retries = 6
	load := m.load(perSecond)
	load.ShiftEvery = 0
	load.Skew = hotSkew
	flooder := m.Deployment.Accounts[1]
	tokensPerCall := float64(load.PromptTokens + load.MaxTokens)
	load.Rate[flooder.ID] = 4 * flooder.Rate / tokensPerCall
	w.Run(settleFor)
	w.Begin(load, w.Now.Add(warmFor+d))
	w.Run(warmFor)
	calls := len(w.Callers.Calls)
	w.Run(d + 40*time.Second)
	measured := w.Callers.Calls[calls:]
	byAccount, _ := w.firstTokens(measured)
	delete(byAccount, flooder.ID)
	worst, median := worstAndMedian(byAccount)
	worstShare, medianShare := worstAndMedian(w.failedShare(measured, flooder.ID))
	return []Row{
		m.row("worst-served client account", "p95 first token ms, worst", worst),
		m.row("worst-served client account", "p95 first token, worst over median", worst/max(median, 1)),
		m.row("worst-served client account", "good answers, worst over median", (1-worstShare)/max(1-medianShare, 1e-9)),
		m.row("safety", "violations", float64(len(w.Finish()))),
	}
}

func worstAndMedian(byAccount map[string]float64) (worst, median float64) {
	values := make([]float64, 0, len(byAccount))
	for _, v := range byAccount {
		values = append(values, v)
	}
	sort.Float64s(values)
	if len(values) == 0 {
		return 0, 0
	}
	return values[len(values)-1], values[len(values)/2]
}

func (w *World[P]) failedShare(calls []*Call, except string) map[string]float64 {
	sent := map[string]float64{}
	failed := map[string]float64{}
	for _, c := range calls {
		if c.Account == except {
			continue
		}
		sent[c.Account]++
		if c.Outcome != reducer.OutcomeDone {
			failed[c.Account]++
		}
	}
	for account := range sent {
		failed[account] /= sent[account]
	}
	return failed
}

// Refusals measures requests refused although one exact bucket for the whole fleet would have taken them.
func (m Measures[P]) Refusals(d time.Duration, leave bool) []Row {
	w := New[P](m.options())
	w.Callers.Retries = 6
	load := m.load(1)
	load.Skew = 0.6
	load.ShiftEvery = 15 * time.Second
	load.PromptTokens = 40
	load.MaxTokens = 10
	for _, a := range m.Deployment.Accounts {
		load.Rate[a.ID] = 0.7 * a.Rate / float64(load.PromptTokens+load.MaxTokens)
	}
	load.ServiceShare = 0.97
	w.Run(settleFor)
	w.Begin(load, w.Now.Add(d))
	name := "in calm"
	if leave {
		name = "while a failure domain leaves"
		w.after(d/3, func() { w.setDomain(0, "withdrawn") })
		w.after(2*d/3, func() { w.setDomain(0, "in_service") })
	}
	w.Run(d + 40*time.Second)
	wrong, within := w.wrongful()
	return []Row{
		m.row("wrongful refusals "+name, "per 100,000 inside the rate", 100_000*float64(wrong)/max(float64(within), 1)),
		m.row("wrongful refusals "+name, "requests inside the rate", float64(within)),
		m.row("safety", "violations", float64(len(w.Finish()))),
	}
}

// wrongful counts the calls inside the rate, and those of them that were refused as over the rate.
func (w *World[P]) wrongful() (wrong, within int) {
	buckets := map[string]*limiter.Bucket{}
	for _, c := range w.Callers.Calls {
		account := w.Checks.rates[c.Account]
		b, ok := buckets[c.Account]
		if !ok {
			b = &limiter.Bucket{Rate: account.Rate, Burst: account.Burst, Level: account.Burst, UpdatedAt: Start}
			buckets[c.Account] = b
		}
		tokens := float64(c.PromptTokens + c.MaxTokens)
		if c.Service != "" {
			tokens = serviceTokens(w, c.Service)
		}
		b.Refill(c.SentAt)
		if b.Level < tokens {
			continue
		}
		b.Level -= tokens
		within++
		if c.Reason == reducer.ReasonOverRate {
			wrong++
		}
	}
	return wrong, within
}

func serviceTokens[P selector.Policy](w *World[P], service string) float64 {
	for _, s := range w.Shard("services").Services {
		if s.Name == service {
			return float64(s.CallTokens)
		}
	}
	return 0
}

func (w *World[P]) setDomain(i int, state string) {
	domains := append(w.Shard("fleet").FailureDomains[:0:0], w.Shard("fleet").FailureDomains...)
	domains[i].State = state
	w.publishDomains(domains)
}

// Domain measures good answers while a failure domain leaves and returns.
func (m Measures[P]) Domain(perSecond float64) []Row {
	w := New[P](m.options())
	w.Callers.Retries = 6
	load := m.load(perSecond)
	load.ShiftEvery = 0
	load.ServiceShare = 0.3
	w.Run(settleFor)
	w.Begin(load, w.Now.Add(3*domainFor))
	left := w.Now.Add(domainFor)
	w.after(domainFor, func() { w.setDomain(0, "withdrawn") })
	w.after(2*domainFor, func() { w.setDomain(0, "in_service") })
	w.Run(3*domainFor + 40*time.Second)
	least, mean := w.goodShare(left.Add(-10*time.Second), left.Add(2*domainFor))
	return []Row{
		m.row("failure domain leaves and returns", "least good share in 5 s, %", 100*least),
		m.row("failure domain leaves and returns", "good share, %", 100*mean),
		m.row("safety", "violations", float64(len(w.Finish()))),
	}
}

// goodShare returns the least and the mean share of calls with a whole answer, by the time at which they were sent.
func (w *World[P]) goodShare(from, to time.Time) (least, mean float64) {
	const window = 5 * time.Second
	sent := map[int]float64{}
	good := map[int]float64{}
	allSent, allGood := 0.0, 0.0
	for _, c := range w.Callers.Calls {
		if c.SentAt.Before(from) || c.SentAt.After(to) {
			continue
		}
		slot := int(c.SentAt.Sub(from) / window)
		sent[slot]++
		allSent++
		if c.Outcome == reducer.OutcomeDone {
			good[slot]++
			allGood++
		}
	}
	least = 1
	for slot, n := range sent {
		least = min(least, good[slot]/n)
	}
	return least, allGood / max(allSent, 1)
}
