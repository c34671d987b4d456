// Standinlog serves a stand-in for the platform's log service on loopback. Its entries live in memory,
// and in a file if one is named.
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
	Listen    string        `long:"listen" default:"127.0.0.1:7070" description:"address to serve on"`
	Retain    int           `long:"retain" default:"10000" description:"entries kept per stream"`
	RetainAge time.Duration `long:"retain-age" default:"24h" description:"time for which an entry is kept, 0 for no limit"`
	Rate      int           `long:"rate" default:"500" description:"appends taken per second"`
	Keep      string        `long:"keep" value-name:"FILE" description:"file that keeps the entries over a restart"`
	MaxEntry  int           `long:"max-entry" default:"65536" description:"size of an entry in bytes"`
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
		MaxEntries: o.Retain, MaxAge: o.RetainAge, AppendsPerSecond: o.Rate, MaxEntrySize: o.MaxEntry,
	}, timer.New())
	if o.Keep != "" {
		if err := log.PersistTo(o.Keep); err != nil {
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
