// Standinlog serves a stand-in for the platform's log service, by default on a loopback address. It keeps entries in
// memory and, with --keep, in a file.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/bambooknot/bambooknot/standin"
	"github.com/bambooknot/bambooknot/timer"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 2 * time.Second
)

type options struct {
	Listen           string        `long:"listen" default:"127.0.0.1:7070" description:"listen address"`
	MaxEntries       int           `long:"retain" default:"10000" description:"maximum number of entries kept per stream"`
	MaxAge           time.Duration `long:"retain-age" default:"24h" description:"maximum age of kept entries; 0 for no limit"`
	AppendsPerSecond int           `long:"rate" default:"500" description:"maximum append requests per second"`
	File             string        `long:"keep" value-name:"FILE" description:"file that persists the entries across restarts"`
	MaxEntrySize     int           `long:"max-entry" default:"65536" description:"maximum size of an entry in bytes"`
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
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	log := standin.NewLog(standin.LogSettings{
		MaxEntries: o.MaxEntries, MaxAge: o.MaxAge, AppendsPerSecond: o.AppendsPerSecond, MaxEntrySize: o.MaxEntrySize,
	}, timer.New())
	if o.File != "" {
		if err := log.PersistTo(o.File); err != nil {
			return err
		}
	}
	server := &http.Server{Handler: log, ReadHeaderTimeout: headerTimeout}
	stop, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	fmt.Println("log listens on", listener.Addr())
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
	}
	log.Close()
	ctx, done := context.WithTimeout(context.Background(), shutdownTimeout)
	defer done()
	return server.Shutdown(ctx)
}
