// Standinserver runs a stand-in for a backend server beside a node.
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

// drainTime is how long a draining server goes on serving, so that all nodes hear of it.
const drainTime = 3 * time.Second

type options struct {
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"address to serve calls at"`
	Node       string        `long:"node" required:"true" description:"local address of the node beside the server"`
	Service    string        `long:"service" required:"true" description:"service that the server belongs to"`
	Slots      int           `long:"slots" default:"18" description:"calls that run at once"`
	Work       time.Duration `long:"work" default:"1ms" description:"time that one call takes"`
	Cold       time.Duration `long:"cold" default:"0s" description:"time after the start during which the server is cold"`
	ColdFactor int           `long:"cold-factor" default:"10" description:"how many times longer a call takes while cold"`
	Shed       int           `long:"shed" default:"0" description:"refuse calls beyond that many; 0 refuses none"`
	HealthLag  time.Duration `long:"health-lag" default:"0s" description:"age of the reported health"`
	HealthLies bool          `long:"health-lies" description:"always report good health"`
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

// drainAndShutdown drains the server, lets the nodes hear of it and ends the calls in flight.
func drainAndShutdown(server *standin.Server, announcer *standin.Announcer, httpServer *http.Server, timers *timer.Service) error {
	server.Drain()
	_ = announcer.Announce(context.Background())
	heard := make(chan struct{})
	sub := timers.After(drainTime, func(time.Time) { close(heard) })
	<-heard
	sub.Close()
	err := httpServer.Shutdown(context.Background())
	server.Close()
	return err
}

func (o options) settings() standin.ServerSettings {
	return standin.ServerSettings{
		Service:           o.Service,
		Slots:             o.Slots,
		ServiceTime:       o.Work,
		ColdPeriod:        o.Cold,
		ColdFactor:        o.ColdFactor,
		MaxPending:        o.Shed,
		HealthLag:         o.HealthLag,
		HealthAlwaysReady: o.HealthLies,
	}
}
