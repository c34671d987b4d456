// Standinserver runs a stand-in for a backend server and announces it to its local node.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bambooknot/bambooknot/standin"
	"github.com/bambooknot/bambooknot/timer"
)

// drainTime is how long a draining server continues to serve calls, so that its state reaches all nodes first.
const drainTime = 3 * time.Second

type options struct {
	Listen            string        `long:"listen" default:"127.0.0.1:0" description:"listen address for calls"`
	Node              string        `long:"node" required:"true" description:"address on which the local node accepts announcements"`
	Service           string        `long:"service" required:"true" description:"name of the service"`
	Slots             int           `long:"slots" default:"18" description:"calls processed concurrently"`
	ServiceTime       time.Duration `long:"work" default:"1ms" description:"processing time of a call"`
	ColdPeriod        time.Duration `long:"cold" default:"0s" description:"time after start during which the server is cold"`
	ColdFactor        int           `long:"cold-factor" default:"10" description:"factor applied to the processing time while the server is cold"`
	MaxPending        int           `long:"shed" default:"0" description:"running and queued calls beyond which calls are rejected; 0 for no limit"`
	HealthLag         time.Duration `long:"health-lag" default:"0s" description:"age of the state that the health endpoint reports"`
	HealthAlwaysReady bool          `long:"health-lies" description:"always report ready on the health endpoint"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	node, err := netip.ParseAddrPort(o.Node)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	timers := timer.New()
	server := standin.NewServer(o.settings(), timers)
	httpServer := &http.Server{Handler: server}
	failed := make(chan error, 1)
	go func() { failed <- httpServer.Serve(listener) }()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	fmt.Println(address)
	announcer := standin.NewAnnouncer(server, address, node, timers, nil)
	defer announcer.Close()
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	return drainAndShutdown(server, announcer, httpServer, timers)
}

// drainAndShutdown announces the server as draining, serves calls for drainTime and then shuts down once the calls in
// flight have ended.
func drainAndShutdown(server *standin.Server, announcer *standin.Announcer, httpServer *http.Server, timers *timer.Service) error {
	server.Drain()
	_ = announcer.Announce(context.Background())
	drained := make(chan struct{})
	sub := timers.After(drainTime, func(time.Time) { close(drained) })
	<-drained
	sub.Close()
	err := httpServer.Shutdown(context.Background())
	server.Close()
	return err
}

func (o options) settings() standin.ServerSettings {
	return standin.ServerSettings{
		Service:           o.Service,
		Slots:             o.Slots,
		ServiceTime:       o.ServiceTime,
		ColdPeriod:        o.ColdPeriod,
		ColdFactor:        o.ColdFactor,
		MaxPending:        o.MaxPending,
		HealthLag:         o.HealthLag,
		HealthAlwaysReady: o.HealthAlwaysReady,
	}
}
