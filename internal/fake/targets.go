package fake

import (
	"net/http"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/platform"
)

// standin is what a control can do to any stand-in of a target.
type standin interface {
	platform.Backend
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
}

// ServeTarget starts the HTTP side of an *Engine or a *Plain.
func ServeTarget(name string, back standin) (*TargetServer, error) {
	handler := BackendHandler(back)
	if e, ok := back.(*Engine); ok {
		handler = RankHandler(e.Rank, handler)
	}
	srv, err := Serve(handler)
	if err != nil {
		return nil, err
	}
	return &TargetServer{Name: name, Server: srv, back: back}, nil
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
	Name   string `json:"name"`
	Active int    `json:"active"` // requests inside
	Runs   []Run  `json:"runs"`
}

func (t *TargetServer) state() TargetState {
	return TargetState{Name: t.Name, Active: t.back.Active(), Runs: t.back.Runs()}
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
