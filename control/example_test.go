package control_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"github.com/bambooknot/bambooknot/control"
	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// program runs several cores. Its clock is a variable, its transport is a queue and its log is a slice.
type program struct {
	now     time.Time
	cores   map[netip.AddrPort]*control.Core
	peers   []netip.AddrPort
	pending []func() // deliveries, oldest first
	reads   []read   // reads of the log that are not answered yet
	streams map[message.Stream][]record.Entry
}

// read is a ReadLog that is not answered yet.
type read struct {
	core     *control.Core
	request  message.ReadLog
	deadline time.Time
}

func (p *program) add(peer netip.AddrPort, hint netip.AddrPort) {
	key := member.NewKey(peer, member.Incarnation(p.now.UnixNano()))
	self := member.New(key, member.NewPlace("jadran", "split"), record.SchemaNewest)
	rnd := rand.New(rand.NewPCG(uint64(len(p.peers)), 1))
	p.cores[peer] = control.New(control.Settings{
		Self:      self,
		LogRegion: "jadran",
		Fleet:     fleet.Settings{Fleet: "example", Hints: []netip.AddrPort{hint}},
	}, rnd)
	p.peers = append(p.peers, peer)
}

// execute executes the actions of a core. Results are delivered later, never within the call.
func (p *program) execute(core *control.Core, actions []message.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case message.Send:
			env := message.NewEnvelope(core.Self().Key(), a.Body())
			if to := p.cores[a.Recipient()]; to != nil {
				p.pending = append(p.pending, func() { p.execute(to, to.Receive(p.now, env)) })
			}
		case message.AppendLog:
			offset := record.Offset(len(p.streams[a.Stream()]))
			p.streams[a.Stream()] = append(p.streams[a.Stream()], record.NewEntry(offset, a.Data()))
			done := message.NewAppendResult(a.Stream(), a.Token(), offset, nil)
			p.pending = append(p.pending, func() { p.execute(core, core.ReceiveAppendResult(p.now, done)) })
		case message.ReadLog:
			p.reads = append(p.reads, read{core, a, p.now.Add(a.MaxWait())})
		}
	}
}

// answerReads answers the reads that have entries or whose wait is over.
func (p *program) answerReads() {
	reads := p.reads
	p.reads = nil
	for _, r := range reads {
		entries := p.streams[r.request.Stream()]
		from := min(int(r.request.StartOffset()), len(entries))
		if from == len(entries) && p.now.Before(r.deadline) {
			p.reads = append(p.reads, r)
			continue
		}
		page := message.NewLogPage(r.request.Stream(), 0, record.Offset(len(entries)), entries[from:], nil)
		p.execute(r.core, r.core.ReceiveLogPage(p.now, page))
	}
}

// run advances the clock by d in steps of TickPeriod.
func (p *program) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(control.TickPeriod) {
		for _, peer := range p.peers {
			p.execute(p.cores[peer], p.cores[peer].Tick(p.now))
		}
		p.answerReads()
		for len(p.pending) > 0 {
			deliver := p.pending[0]
			p.pending = p.pending[1:]
			deliver()
		}
	}
}

// Three cores form a fleet. The program around them provides their log, clock and transport.
func ExampleCore() {
	p := &program{
		now:     time.Unix(1_700_000_000, 0),
		cores:   make(map[netip.AddrPort]*control.Core),
		streams: make(map[message.Stream][]record.Entry),
	}
	first := netip.MustParseAddrPort("10.0.0.1:7100")
	for peer := first; len(p.peers) < 3; peer = netip.AddrPortFrom(peer.Addr().Next(), peer.Port()) {
		p.add(peer, first)
	}
	p.run(15 * time.Second)

	change := record.NewChangeSet(uuid.UUID{15: 1}, "ana", 0, []record.Record{
		record.NewService(record.Schema2, "narudzbe", 18),
	}, nil)
	p.execute(p.cores[first], p.cores[first].Publish(p.now, change, func(r message.Receipt) {
		fmt.Println("decided:", r.State() == message.ReceiptDecided, "accepted:", r.Outcome().Accepted())
	}))
	p.run(2 * time.Second)
	for _, peer := range p.peers {
		core := p.cores[peer]
		fmt.Println(peer, "joined:", core.Joined(), "version:", core.Snapshot().Config().Version(),
			"members:", len(core.Snapshot().View().Members()))
	}
	// Output:
	// decided: true accepted: true
	// 10.0.0.1:7100 joined: true version: 1 members: 3
	// 10.0.0.2:7100 joined: true version: 1 members: 3
	// 10.0.0.3:7100 joined: true version: 1 members: 3
}
