package budgeter

import (
	"time"

	"github.com/redwingpick/redwingpick/internal/limiter"
)

// Class is the kind of clients that one address of a host serves.
type Class uint8

// Classes of clients; ClassCount is their number. Those from ClassOperators on belong to the operators' own machines.
const (
	ClassCallers Class = iota
	ClassDirectory
	ClassReadiness
	ClassOperators
	ClassPeers
	ClassCount
)

var classNames = [ClassCount]string{"callers", "directory", "readiness", "operators", "peers"}

// String returns the name of the class in logs and metrics.
func (c Class) String() string { return classNames[c] }

// Phase is what a client is doing, which says whether it can be dropped.
type Phase uint8

// Phases of a client.
const (
	// PhaseIdle is a connection without a request.
	PhaseIdle Phase = iota
	// PhaseHead is a connection on which the head of a request arrives.
	PhaseHead
	// PhaseBody is a request whose body arrives.
	PhaseBody
	// PhaseRunning is a request that may run; its client cannot be dropped.
	PhaseRunning
	// PhaseWriting is a response of which the host writes a part. The client can be dropped, since it does not read.
	PhaseWriting
)

var phaseNames = [...]string{"idle", "head", "body", "running", "writing"}

// String returns the name of the phase in logs.
func (p Phase) String() string { return phaseNames[p] }

// Progress of clients.
const (
	// progressHalfLife is the half-life of the bytes that count as progress: clients that stop lose their standing within some seconds.
	progressHalfLife = time.Second
	// freshRate is the progress in bytes per second with which a phase starts, so that new clients go before those that have stopped.
	freshRate = 64 << 10
	// stoppedRate is the progress in bytes per second below which a client with a request counts as stopped, however little it holds.
	stoppedRate = 1 << 10
	// maxRate is the progress in bytes per second above which clients are equal. Among equals the oldest stay, so that some complete.
	maxRate = 256 << 10
)

// Client is one connection of a client, or one request on a connection that several requests share.
type Client struct {
	Class Class
	// Group is the client account, or the name of the class if no account is known.
	Group string
	// Connection is set for a client that uses a descriptor.
	Connection bool
	Phase      Phase
	PhaseSince time.Time
	// Held is the number of bytes that the client makes the host hold, and Base the part of it that stays until the connection is closed.
	Held, Base int64
	// Progress is the rate in bytes per second at which the client has sent or received.
	Progress limiter.DecayingRate
	// WaitingSince is when the client began to wait for bytes of the budget; it is zero while the client does not wait.
	WaitingSince time.Time
	// Dropped is set once the client is to end. Its bytes count until it has ended.
	Dropped bool
}

// CanBeDropped reports whether the client can be dropped: no request of it runs, or it does not read the response.
func (c *Client) CanBeDropped() bool { return !c.Dropped && c.Phase != PhaseRunning }

// Rate returns the progress of the client in bytes per second.
func (c *Client) Rate(now time.Time) float64 {
	if !c.WaitingSince.IsZero() {
		now = c.WaitingSince
	}
	return c.Progress.At(now, progressHalfLife)
}

// enter starts a phase. Writing begins anew with each part of a response, since the time between two parts says nothing about the client.
func (c *Client) enter(now time.Time, phase Phase) {
	if c.Phase == phase {
		return
	}
	c.Phase, c.PhaseSince = phase, now
	c.Progress = limiter.DecayingRate{PerSecond: max(c.Progress.At(now, progressHalfLife), freshRate), UpdatedAt: now}
}

// standing orders clients by their progress; the one with the lowest is dropped first. The time for which a client waits for the host does not count.
func (c *Client) standing(now time.Time) float64 {
	if c.Phase == PhaseIdle {
		return -now.Sub(c.PhaseSince).Seconds()
	}
	return min(c.Rate(now), maxRate)
}

// hasStopped reports whether the client has a request and makes next to no progress with it.
func (c *Client) hasStopped(now time.Time) bool {
	return c.Phase != PhaseIdle && c.Rate(now) < stoppedRate
}

// wait stops the clock of the client's progress; resume lets it go on.
func (c *Client) wait(now time.Time) {
	if c.WaitingSince.IsZero() {
		c.WaitingSince = now
	}
}

func (c *Client) resume(now time.Time) {
	if c.WaitingSince.IsZero() {
		return
	}
	c.Progress.UpdatedAt = c.Progress.UpdatedAt.Add(now.Sub(c.WaitingSince))
	c.WaitingSince = time.Time{}
}
