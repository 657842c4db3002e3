package messenger

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/internal/translator"
	peerv1 "github.com/redwingpick/redwingpick/internal/wire/redwingpick/peer/v1"
)

// maxDatagramSize is the size in bytes up to which an envelope is sent as a datagram; a larger one is sent in a call.
const maxDatagramSize = 8 << 10

// receiveRetryDelay is the pause after a failed receive.
const receiveRetryDelay = 10 * time.Millisecond

// Datagrams sends and receives small envelopes as UDP datagrams: they need no connection, and a lost one is not sent again, because the
// reducer sends its content anew in the next round. Its exported fields are set before Listen.
type Datagrams struct {
	HostID string
	// Incarnation and StartedAt identify this run of the process, and the start from which the stamps of its envelopes count.
	Incarnation uint64
	StartedAt   time.Time
	// Results receives the envelopes of other hosts.
	Results chan<- reducer.Event

	conn *net.UDPConn
}

// Listen binds the address at which other hosts send datagrams to this one.
func (d *Datagrams) Listen(address string) error {
	bound, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	d.conn, err = net.ListenUDP("udp", bound)
	return err
}

// socketAddress returns an address in the form that the socket takes.
func (d *Datagrams) socketAddress(to netip.AddrPort) unix.Sockaddr {
	local, ok := d.conn.LocalAddr().(*net.UDPAddr)
	if ok && local.IP.To4() != nil && to.Addr().Unmap().Is4() {
		return &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
	}
	return &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}
}

// Send sends an envelope without blocking. It reports false for an envelope that cannot be sent as a datagram, because it is too large or its
// address is invalid; one that the socket does not accept at once is dropped.
func (d *Datagrams) Send(envelope reducer.SendPeer) bool {
	address, err := netip.ParseAddrPort(envelope.Address)
	if d.conn == nil || err != nil {
		return false
	}
	w := translator.EncodeEnvelope(d.HostID, d.Incarnation, envelope.Messages)
	w.SentAtUs = max(clocker.Now().Sub(d.StartedAt).Microseconds(), 1)
	w.ReplyToIncarnation, w.ReplyToUs = envelope.ReplyTo.Incarnation, envelope.ReplyTo.Uptime.Microseconds()
	body, err := proto.Marshal(w)
	if err != nil || len(body) > maxDatagramSize {
		return false
	}
	raw, err := d.conn.SyscallConn()
	if err != nil {
		return false
	}
	to := d.socketAddress(address)
	_ = raw.Write(func(fd uintptr) bool {
		_ = unix.Sendto(int(fd), body, unix.MSG_DONTWAIT, to)
		return true
	})
	return true
}

// Run receives envelopes until the context ends.
func (d *Datagrams) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = d.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramSize+1)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A pause keeps an error that persists from making a loop without waiting.
			time.Sleep(receiveRetryDelay)
			continue
		}
		if n > maxDatagramSize {
			continue
		}
		event, ok := d.decode(clocker.Now(), buffer[:n])
		if !ok {
			continue
		}
		select {
		case d.Results <- event:
		case <-ctx.Done():
			return
		}
	}
}

// decode decodes a datagram that was received at time now; ok is false if it holds no envelope with a stamp.
func (d *Datagrams) decode(now time.Time, body []byte) (event reducer.PeerReceived, ok bool) {
	w := &peerv1.ExchangeRequest{}
	if err := proto.Unmarshal(body, w); err != nil || w.GetFrom() == "" || w.GetSentAtUs() <= 0 {
		return reducer.PeerReceived{}, false
	}
	event = translator.DecodeEnvelope(w)
	event.Stamp = reducer.Stamp{Incarnation: w.GetIncarnation(), Uptime: time.Duration(w.GetSentAtUs()) * time.Microsecond}
	event.Reply, event.RequestedAt = w.GetReplyToUs() != 0, d.requestedAt(now, w)
	return event, true
}

// requestedAt returns when this process sent the envelope to which one replies, or zero if it is no reply to one of this process.
func (d *Datagrams) requestedAt(now time.Time, w *peerv1.ExchangeRequest) time.Time {
	if w.GetReplyToUs() <= 0 || w.GetReplyToIncarnation() != d.Incarnation {
		return time.Time{}
	}
	at := d.StartedAt.Add(time.Duration(w.GetReplyToUs()) * time.Microsecond)
	if at.After(now) || at.Before(d.StartedAt) {
		return time.Time{}
	}
	return at
}
