package fake

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// standin is the interface of all stand-ins for the engine or service of a target.
type standin interface {
	outside.Backend
	Kill()
	Restart()
	Stall(on bool)
	SetDelay(d time.Duration)
	Runs() []Run
	Active() int
}

// TargetServer serves the stand-in for the engine or service of one target over HTTP.
type TargetServer struct {
	Name    string
	Server  *Server
	backend standin

	crashText atomic.Pointer[string] // a request with this text in its body crashes the target
	crashes   atomic.Int64
}

// crashRestart is the time from the crash of a target to its restart. It simulates a
// platform that restarts crashed engines and services.
const crashRestart = 300 * time.Millisecond

// ServeTarget starts an HTTP server for an *Engine or a *Plain.
func ServeTarget(name string, back standin) (*TargetServer, error) {
	t := &TargetServer{Name: name, backend: back}
	handler := BackendHandler(t)
	if e, ok := back.(*Engine); ok {
		handler = RankHandler(e.Rank, handler)
	}
	srv, err := Serve(handler)
	if err != nil {
		return nil, err
	}
	t.Server = srv
	return t, nil
}

// CrashOn makes every request whose body contains text crash the target. An empty text
// disables crashes.
func (t *TargetServer) CrashOn(text string) { t.crashText.Store(&text) }

// Run implements outside.Backend. It passes the call to the stand-in, unless the body of
// the call contains the text set by CrashOn, which crashes the target.
func (t *TargetServer) Run(ctx context.Context, call *outside.Call) (*outside.Reply, error) {
	text := t.crashText.Load()
	if text != nil && *text != "" && bytes.Contains(call.Body, []byte(*text)) {
		t.crashes.Add(1)
		t.Kill()
		time.AfterFunc(crashRestart, func() { _ = t.Restart() }) // if the port is in use, the target stays down
		return nil, &outside.SendError{MayHaveRun: true, Err: errEngineDown}
	}
	return t.backend.Run(ctx, call)
}

// Kill stops the target like a crashed process: it closes all connections and refuses
// new ones.
func (t *TargetServer) Kill() {
	t.backend.Kill()
	t.Server.Stop()
}

// Restart starts the target again on the same port.
func (t *TargetServer) Restart() error {
	t.backend.Restart()
	return t.Server.Start()
}

// TargetState is the state of a target's stand-in and the requests that it ran.
type TargetState struct {
	Name    string `json:"name"`
	Active  int    `json:"active"`  // requests in progress
	Crashes int64  `json:"crashes"` // crashes caused by requests, see CrashOn
	Runs    []Run  `json:"runs"`
}

func (t *TargetServer) state() TargetState {
	return TargetState{Name: t.Name, Active: t.backend.Active(), Crashes: t.crashes.Load(), Runs: t.backend.Runs()}
}

// AddTargets adds handlers of requests for the state and faults of targets.
func (c *Control) AddTargets(targets map[string]*TargetServer) {
	c.Handle("GET /targets", func(*http.Request) (any, error) {
		var all []TargetState
		for _, t := range targets {
			all = append(all, t.state())
		}
		slices.SortFunc(all, func(a, b TargetState) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
		return all, nil
	})
	c.Handle("POST /crash", func(r *http.Request) (any, error) {
		for _, t := range targets {
			t.CrashOn(r.FormValue("on"))
		}
		return doneReply, nil
	})
	c.Handle("POST /hold", func(r *http.Request) (any, error) {
		f := formReader{r: r}
		after := f.number("after")
		if f.err != nil {
			return nil, f.err
		}
		for _, t := range targets {
			if e, ok := t.backend.(*Engine); ok {
				e.Hold(after)
			}
		}
		return doneReply, nil
	})
	c.Handle("POST /targets/{name}/{action}", func(r *http.Request) (any, error) {
		t := targets[r.PathValue("name")]
		if t == nil {
			return nil, ErrUnknown
		}
		return doneReply, t.runAction(r)
	})
}

// runAction runs the action that is named in the path of a request.
func (t *TargetServer) runAction(r *http.Request) error {
	switch r.PathValue("action") {
	case "kill":
		t.Kill()
	case "restart":
		return t.Restart()
	case "stall":
		t.backend.Stall(true)
	case "resume":
		t.backend.Stall(false)
	case "delay":
		f := formReader{r: r}
		t.backend.SetDelay(f.duration("d"))
		return f.err
	default:
		return ErrUnknown
	}
	return nil
}
