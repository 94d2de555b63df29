// Command heatherrail-agent runs next to each target and relays requests to it.
package main

import (
	"fmt"
	"os"

	"github.com/heatherrail/heatherrail/agent"
	"github.com/heatherrail/heatherrail/internal/daemon"
	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
)

func main() { os.Exit(run()) }

func run() int {
	f := daemon.Parse("heatherrail-agent relays requests to one target and is the only process that connects to it.")
	file, err := settings.LoadAgent(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitSettings
	}
	if f.Check {
		fmt.Println("ok")
		return daemon.ExitOK
	}
	ln, err := file.Network.Listen(file.Agent.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFail
	}
	set := metrics.New()
	if file.Agent.Metrics != "" {
		server, err := set.Serve(file.Agent.Metrics, metrics.DefaultMaxConns)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return daemon.ExitFail
		}
		defer server.Close()
	}
	backend := outside.NewHTTPBackend(file.Agent.Backend)
	backend.RequireDone = file.Agent.Kind == settings.KindEngine
	a, err := agent.Start(agent.Options{
		Settings:    file.Agent,
		Listener:    ln,
		Backend:     backend,
		Logger:      logging.New(os.Stderr, file.Agent.Verbosity),
		Metrics:     set,
		Incarnation: daemon.Incarnation(),
		Log:         &outside.HTTPLog{Addr: file.Platform.Log},
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitFail
	}
	return daemon.Wait(a, file.Agent.Grace)
}
