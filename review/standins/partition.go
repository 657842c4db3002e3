package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"
)

// partition is a set of proxies before the hosts' addresses for each other, one a host. While it is cut, nothing passes between the two sides.
type partition struct {
	mutex sync.Mutex
	cut   bool
	// side holds the side of each host by its name, and names the hosts by the addresses from which they send datagrams.
	side  map[string]int
	names map[string]string
	links map[*link]bool
}

// link is one TCP connection through a proxy.
type link struct {
	to, from     string
	client, host net.Conn
}

func newPartition() *partition {
	return &partition{side: map[string]int{}, names: map[string]string{}, links: map[*link]bool{}}
}

// add starts the proxy of a host: from the address that others know to the one on which the host listens.
func (p *partition) add(name string, side int, known, listens string) {
	p.mutex.Lock()
	p.side[name] = side
	p.names[listens] = name
	p.mutex.Unlock()
	address, err := net.ResolveUDPAddr("udp", known)
	check(err)
	datagrams, err := net.ListenUDP("udp", address)
	check(err)
	target, err := net.ResolveUDPAddr("udp", listens)
	check(err)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, from, err := datagrams.ReadFromUDP(buffer)
			if err == nil && p.passes(p.sender(from.String()), name) {
				_, _ = datagrams.WriteToUDP(buffer[:n], target)
			}
		}
	}()
	socket, err := net.Listen("tcp", known)
	check(err)
	go func() {
		for {
			conn, err := socket.Accept()
			check(err)
			go p.forward(conn, name, listens)
		}
	}()
}

func (p *partition) sender(address string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.names[address]
}

// passes reports whether bytes pass between two hosts; those of an unknown sender do not while the partition is cut.
func (p *partition) passes(from, to string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	side, known := p.side[from]
	return !p.cut || known && side == p.side[to]
}

// setCut cuts the partition, or heals it and resets the connections that were silenced.
func (p *partition) setCut(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cut = cut
	for l := range p.links {
		side, known := p.side[l.from]
		if !cut && (!known || side != p.side[l.to]) {
			_ = l.client.Close()
			_ = l.host.Close()
		}
	}
}

// hostName finds the name of the sending host, which is the first in the messages between hosts.
var hostName = regexp.MustCompile(`front-ub-[a-z]+-[0-9]`)

// forward passes the bytes of one connection. It learns the sender from the first message that names it.
func (p *partition) forward(client net.Conn, name, listens string) {
	host, err := net.DialTimeout("tcp", listens, 300*time.Millisecond)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{to: name, client: client, host: host}
	p.mutex.Lock()
	p.links[l] = true
	p.mutex.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(l, host, client, true); done <- struct{}{} }()
	go func() { p.copy(l, client, host, false); done <- struct{}{} }()
	<-done
	_ = client.Close()
	_ = host.Close()
	p.mutex.Lock()
	delete(p.links, l)
	p.mutex.Unlock()
}

// copy passes bytes one way. Bytes that come while the link is cut are held until it is reset; those of a sender that is not known yet are held
// until it is.
func (p *partition) copy(l *link, to io.Writer, from io.Reader, learn bool) {
	buffer := make([]byte, 64<<10)
	var held []byte
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		held = append(held, buffer[:n]...)
		p.mutex.Lock()
		if learn && l.from == "" {
			l.from = string(hostName.Find(held))
		}
		sender := l.from
		p.mutex.Unlock()
		// The preface and the settings of a connection name nobody; the host answers them at once.
		if !p.passes(sender, l.to) {
			continue
		}
		if _, err := to.Write(held); err != nil {
			return
		}
		held = nil
	}
}

var tttZones = []string{"ub-bayangol", "ub-khanuul", "ub-sukhbaatar", "ub-bayangol", "ub-khanuul", "ub-sukhbaatar", "ub-bayangol"}

// partitioned replaces the hosts by those of ttt-pearlhub, with proxies between them: the first ones, which the seeds name, on one side.
func (f *fleet) partitioned(first int) *partition {
	cuts := newPartition()
	ports := freePorts(6 * len(tttZones))
	var seeds []string
	f.hosts = nil
	for i, zone := range tttZones {
		p := ports[6*i:]
		h := &host{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: p[0], ready: p[1], directory: p[2], operator: p[3], peerAddr: p[4],
		}
		side := 0
		if i >= first {
			side = 1
		} else {
			seeds = append(seeds, h.peerAddr)
		}
		cuts.add(h.name, side, p[4], p[5])
		f.hosts = append(f.hosts, h)
	}
	for i, h := range f.hosts {
		f.writeSettings(h, ports[6*i+5], seeds)
		var err error
		h.log, err = os.Create(filepath.Join(f.dir, h.name+".log"))
		check(err)
	}
	return cuts
}
