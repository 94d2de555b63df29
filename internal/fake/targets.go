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

// standin is what a control can do to any stand-in of a target.
type standin interface {
	outside.Backend
	Kill()
	Restart()
	Stall(on bool)
	SetDelay(d time.Duration)
	Runs() []Run
	Active() int
}

// TargetServer is the stand-in of one target's engine or service behind a port.
type TargetServer struct {
	Name   string
	Server *Server
	back   standin

	crashOn atomic.Pointer[string] // a request with this text in its body crashes it
	crashes atomic.Int64
}

// crashRestart is how long a crashed engine or service is away, as where the
// platform starts it again.
const crashRestart = 300 * time.Millisecond

// ServeTarget starts the HTTP side of an *Engine or a *Plain.
func ServeTarget(name string, back standin) (*TargetServer, error) {
	t := &TargetServer{Name: name, back: back}
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

// CrashOn makes every request whose body holds a text crash the target; an empty
// one ends that.
func (t *TargetServer) CrashOn(text string) { t.crashOn.Store(&text) }

// Run implements outside.Backend.
func (t *TargetServer) Run(ctx context.Context, call *outside.Call) (*outside.Reply, error) {
	text := t.crashOn.Load()
	if text != nil && *text != "" && bytes.Contains(call.Body, []byte(*text)) {
		t.crashes.Add(1)
		t.Kill()
		time.AfterFunc(crashRestart, func() { _ = t.Restart() }) // a port that is taken shows as a target that stays away
		return nil, &outside.SendError{MayHaveRun: true, Err: errEngineDown}
	}
	return t.back.Run(ctx, call)
}

// Kill ends it like a process that died: connections are cut, new ones refused.
func (t *TargetServer) Kill() {
	t.back.Kill()
	t.Server.Stop()
}

// Restart brings it back, empty, on the same port.
func (t *TargetServer) Restart() error {
	t.back.Restart()
	return t.Server.Start()
}

// TargetState is what a stand-in has done so far.
type TargetState struct {
	Name    string `json:"name"`
	Active  int    `json:"active"`  // requests inside
	Crashes int64  `json:"crashes"` // by requests that crash it
	Runs    []Run  `json:"runs"`
}

func (t *TargetServer) state() TargetState {
	return TargetState{Name: t.Name, Active: t.back.Active(), Crashes: t.crashes.Load(), Runs: t.back.Runs()}
}

// AddTargets puts targets on the control.
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
		return done, nil
	})
	c.Handle("POST /targets/{name}/{action}", func(r *http.Request) (any, error) {
		t := targets[r.PathValue("name")]
		if t == nil {
			return nil, ErrUnknown
		}
		return done, t.act(r)
	})
}

func (t *TargetServer) act(r *http.Request) error {
	switch r.PathValue("action") {
	case "kill":
		t.Kill()
	case "restart":
		return t.Restart()
	case "stall":
		t.back.Stall(true)
	case "resume":
		t.back.Stall(false)
	case "delay":
		f := formReader{r: r}
		t.back.SetDelay(f.duration("d"))
		return f.err
	default:
		return ErrUnknown
	}
	return nil
}
