package listener

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/meter"
	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

// maxBudgetWait is the longest time for which a client waits for bytes that dropped clients give back.
const maxBudgetWait = 2 * time.Second

// Guard carries out the decisions of a budget on the clients of all addresses of a host. Its exported fields are set before Serve.
type Guard struct {
	// Limits bounds what clients may make the host hold.
	Limits budgeter.Limits
	// Published returns the published limits on callers.
	Published func() cataloguer.CallerLimits
	Recorder  *recorder.Recorder

	once    sync.Once
	mutex   sync.Mutex
	budget  *budgeter.Budget[*client]
	waiting map[*client]chan struct{}
	// heldByRequest records the largest number of bytes that each request held.
	heldByRequest meter.Sizes
	totals        guardTotals
}

// guardTotals counts what the guard did since the start.
type guardTotals struct {
	refusedConnections, closedConnections, droppedRequests, rejectedHeads atomic.Uint64
}

// maxGroupsShown is the number of groups in a status, those with the most bytes.
const maxGroupsShown = 8

func (g *Guard) setUp() {
	g.once.Do(func() {
		g.budget = budgeter.New[*client](g.Limits)
		g.waiting = map[*client]chan struct{}{}
	})
}

// Status returns the present state and the totals.
func (g *Guard) Status() budgeter.Status {
	g.setUp()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	status := budgeter.Status{
		HeldBytes: g.budget.Held, LimitBytes: g.Limits.Bytes, Groups: g.budget.LargestGroups(maxGroupsShown),
		Connections: map[string]int{}, Bounds: map[string]int{},
		RefusedConnections: g.totals.refusedConnections.Load(), ClosedConnections: g.totals.closedConnections.Load(),
		DroppedRequests: g.totals.droppedRequests.Load(), RejectedHeads: g.totals.rejectedHeads.Load(), HeldByRequest: g.heldByRequest.Spread(),
	}
	for class := range budgeter.ClassCount {
		status.Connections[class.String()] = g.budget.Connections[class]
		status.Bounds[class.String()] = g.Limits.Connections[class]
	}
	return status
}

// open adds a connection and reports whether it may stay.
func (g *Guard) open(c *client) bool {
	g.mutex.Lock()
	decision := g.budget.Open(clocker.Now(), c, c.class, c.bounds.base)
	dropped := g.describe(decision.Victims)
	g.mutex.Unlock()
	g.carryOut(dropped)
	if decision.Answer == budgeter.Granted {
		return true
	}
	g.totals.refusedConnections.Add(1)
	g.Recorder.Record(recorder.EventConnectionRefused, reducer.Field{Name: "class", Value: c.class.String()},
		reducer.Field{Name: "connection", Value: c.name}, reducer.Field{Name: "bound", Value: strconv.Itoa(g.Limits.Connections[c.class])})
	return false
}

// openRequest adds a request on a connection that several requests share.
func (g *Guard) openRequest(c *client) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budget.OpenRequest(clocker.Now(), c, c.class)
}

// close removes a client, whose goroutine has ended.
func (g *Guard) close(c *client) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budget.Close(c)
	g.wakeAll()
}

// enter starts a phase of a client and reports whether the client may go on.
func (g *Guard) enter(c *client, phase budgeter.Phase) bool {
	c.phase.Store(uint32(phase))
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.budget.Enter(clocker.Now(), c, phase)
}

// assign counts a client to its account.
func (g *Guard) assign(c *client, group string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budget.Assign(c, group)
}

// moved counts the progress of a client.
func (g *Guard) moved(c *client, size int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budget.Moved(clocker.Now(), c, size)
}

// give returns bytes of a client.
func (g *Guard) give(c *client, size int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budget.Give(c, size)
	g.wakeAll()
}

// endRequest returns the bytes of a client's request, whose handler has ended.
func (g *Guard) endRequest(c *client) {
	g.heldByRequest.Record(c.mostHeld.Swap(0))
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budget.EndRequest(c)
	g.wakeAll()
}

// take asks for bytes and waits until dropped clients have given them back. It reports false if the client must do without.
func (g *Guard) take(c *client, size int64) bool {
	var timeout <-chan time.Time
	for {
		answer, wake := g.ask(c, size)
		if answer != budgeter.Wait {
			return answer == budgeter.Granted
		}
		if timeout == nil {
			timer := time.NewTimer(maxBudgetWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-wake:
		case <-timeout:
			g.stopWaiting(c)
			return false
		}
	}
}

// tryTake asks for bytes without which the client can go on, and does not wait.
func (g *Guard) tryTake(c *client, size int64) bool {
	answer, _ := g.ask(c, size)
	if answer == budgeter.Wait {
		g.stopWaiting(c)
	}
	return answer == budgeter.Granted
}

// ask asks the budget once, carries out its decision and returns the channel that is closed when it is worth asking again.
func (g *Guard) ask(c *client, size int64) (budgeter.Answer, <-chan struct{}) {
	g.mutex.Lock()
	decision := g.budget.Take(clocker.Now(), c, size)
	if decision.Answer == budgeter.Wait {
		g.waiting[c] = make(chan struct{})
	}
	if held, ok := g.budget.Clients[c]; ok {
		c.mostHeld.Store(max(c.mostHeld.Load(), held.Held))
	}
	wake := g.waiting[c]
	dropped := g.describe(decision.Victims)
	g.mutex.Unlock()
	g.carryOut(dropped)
	return decision.Answer, wake
}

func (g *Guard) stopWaiting(c *client) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiting, c)
	g.budget.StopWaiting(clocker.Now(), c)
}

// wakeAll lets the clients that wait ask again. The caller holds the mutex.
func (g *Guard) wakeAll() {
	for c, wake := range g.waiting {
		close(wake)
		delete(g.waiting, c)
	}
}

// droppedClient is a client that is to end, with what the log says about it.
type droppedClient struct {
	client *client
	phase  budgeter.Phase
	fields []reducer.Field
}

// describe returns the victims with their log fields, and wakes those that wait. The caller holds the mutex.
func (g *Guard) describe(victims []*client) []droppedClient {
	var dropped []droppedClient
	for _, victim := range victims {
		if wake, ok := g.waiting[victim]; ok {
			close(wake)
			delete(g.waiting, victim)
		}
		now, state := clocker.Now(), g.budget.Clients[victim]
		dropped = append(dropped, droppedClient{client: victim, phase: state.Phase, fields: []reducer.Field{
			{Name: "class", Value: state.Class.String()}, {Name: "connection", Value: victim.name}, {Name: "phase", Value: state.Phase.String()},
			{Name: "group", Value: state.Group}, {Name: "held_bytes", Value: strconv.FormatInt(state.Held, 10)},
			{Name: "bytes_per_second", Value: strconv.FormatInt(int64(state.Rate(now)), 10)},
			{Name: "phase_ms", Value: strconv.FormatInt(now.Sub(state.PhaseSince).Milliseconds(), 10)},
			{Name: "all_held_bytes", Value: strconv.FormatInt(g.budget.Held, 10)},
		}})
	}
	return dropped
}

// carryOut ends dropped clients: a request whose body arrives is refused by its handler, a connection is closed.
func (g *Guard) carryOut(dropped []droppedClient) {
	for _, d := range dropped {
		if d.phase == budgeter.PhaseBody {
			g.totals.droppedRequests.Add(1)
			g.Recorder.Record(recorder.EventRequestDropped, d.fields...)
			d.client.interrupt()
			continue
		}
		g.totals.closedConnections.Add(1)
		g.Recorder.Record(recorder.EventConnectionClosed, d.fields...)
		d.client.abort()
	}
}

// rejectHead counts and logs a head that is too long or too slow.
func (g *Guard) rejectHead(c *client, reason string) {
	g.totals.rejectedHeads.Add(1)
	g.Recorder.Record(recorder.EventHeadRejected, reducer.Field{Name: "class", Value: c.class.String()},
		reducer.Field{Name: "connection", Value: c.name}, reducer.Field{Name: "reason", Value: reason},
		reducer.Field{Name: "head_bytes", Value: strconv.Itoa(c.headBytes)})
}

// connState follows the phases of the connections of a server.
func (g *Guard) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*client)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.headBytes = 0
		if !g.enter(c, budgeter.PhaseIdle) {
			// A dropped client does not count at the bound on connections, so it must not stay until its idle timeout.
			c.abort()
		}
	case http.StateClosed, http.StateHijacked:
		g.close(c)
	}
}
