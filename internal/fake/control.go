package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// Control is the HTTP handler through which scenarios inject faults into the stand-ins
// and read their state. docs/STANDINS.md lists its requests.
type Control struct {
	mux    *http.ServeMux
	mu     sync.Mutex
	relays []*Relay
}

// ErrUnknown is returned for an unknown target, group, relay or action.
var ErrUnknown = errors.New("unknown name")

// NewControl returns a Control that handles only the requests for relays.
func NewControl() *Control {
	c := &Control{mux: http.NewServeMux()}
	c.Handle("POST /relays", c.addRelay)
	c.Handle("POST /relays/{id}", c.setRelay)
	return c
}

// ServeHTTP implements http.Handler.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

// Handle registers f for a pattern of http.ServeMux. The response is the value that f
// returns, as JSON. If f returns an error, the response is status 400 with its text.
func (c *Control) Handle(pattern string, f func(r *http.Request) (any, error)) {
	c.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		v, err := f(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
	})
}

// doneReply is the response to requests that only change state.
var doneReply = map[string]bool{"done": true}

// AddLog adds handlers of requests for the state and faults of the log.
func (c *Control) AddLog(l *Log) {
	c.Handle("GET /log", func(*http.Request) (any, error) { return l.State(), nil })
	c.Handle("POST /log", func(r *http.Request) (any, error) {
		f := formReader{r: r}
		faults := LogFaults{Down: f.isYes("down"), DropResponses: f.number("lose-answers"), Delay: f.duration("delay")}
		if f.err == nil {
			l.SetFaults(faults)
		}
		return doneReply, f.err
	})
	c.Handle("POST /log/trim", func(r *http.Request) (any, error) {
		f := formReader{r: r}
		l.Trim(uint64(f.number("before")))
		return doneReply, f.err
	})
}

// AddVMs adds handlers of requests that change the VM list.
func (c *Control) AddVMs(l *VMList) {
	c.Handle("POST /vms/lag", func(r *http.Request) (any, error) {
		f := formReader{r: r}
		l.SetLag(f.duration("lag"))
		return doneReply, f.err
	})
	c.Handle("PUT /vms", func(r *http.Request) (any, error) {
		var vm outside.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			return nil, fmt.Errorf("vm: %w", err)
		}
		l.Put(vm)
		return doneReply, nil
	})
	c.Handle("DELETE /vms/{id}", func(r *http.Request) (any, error) {
		l.Remove(r.PathValue("id"))
		return doneReply, nil
	})
}

// GroupState is the progress of a rank group that runs in lock-step.
type GroupState struct {
	Steps uint64 `json:"steps"` // completed steps
	Idle  uint64 `json:"idle"`  // ticks without a completed step although no engine was stalled or down
	Map   string `json:"map"`   // ID of the current expert map, hexadecimal
	Mixed string `json:"mixed"` // error of the first step with two maps or with a map that was not loaded; empty: none
}

// AddGroups adds handlers of requests for the state and expert loads of rank groups.
func (c *Control) AddGroups(groups map[string]*LockStep) {
	c.Handle("GET /groups", func(*http.Request) (any, error) {
		states := make(map[string]GroupState, len(groups))
		for name, g := range groups {
			state := GroupState{Steps: g.Steps(), Idle: g.Idle(), Map: strconv.FormatUint(uint64(g.Map()), 16)}
			if err := g.Mixed(); err != nil {
				state.Mixed = err.Error()
			}
			states[name] = state
		}
		return states, nil
	})
	c.Handle("POST /groups/{name}/popular", func(r *http.Request) (any, error) {
		g := groups[r.PathValue("name")]
		if g == nil {
			return nil, ErrUnknown
		}
		f := formReader{r: r}
		expert := f.number("expert")
		if f.err == nil {
			g.SetPopular(expert)
		}
		return doneReply, f.err
	})
}

func (c *Control) addRelay(r *http.Request) (any, error) {
	relay, err := NewRelay(r.FormValue("to"))
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays = append(c.relays, relay)
	return map[string]string{"id": strconv.Itoa(len(c.relays) - 1), "address": relay.Addr}, nil
}

func (c *Control) setRelay(r *http.Request) (any, error) {
	id, err := strconv.Atoi(r.PathValue("id"))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || id < 0 || id >= len(c.relays) {
		return nil, ErrUnknown
	}
	f := formReader{r: r}
	faults := RelayFaults{Delay: f.duration("delay"), Freeze: f.isYes("freeze"), Duplicate: f.number("duplicate")}
	if f.err != nil {
		return nil, f.err
	}
	c.relays[id].SetFaults(faults)
	if f.isYes("cut") {
		c.relays[id].Cut()
	}
	return doneReply, nil
}

// Close closes the relays.
func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.relays {
		r.Close()
	}
}

// formReader parses form values of a request and records the first error.
type formReader struct {
	r   *http.Request
	err error
}

// addError records the error for an invalid form value, unless an error is already recorded.
func (f *formReader) addError(name, value, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s=%q: want %s", name, value, want)
	}
}

// isYes parses a form value that is yes or no. It returns false if the value is absent.
func (f *formReader) isYes(name string) bool {
	v := f.r.FormValue(name)
	if v != "" && v != "yes" && v != "no" {
		f.addError(name, v, "yes or no")
	}
	return v == "yes"
}

// number parses a form value that is a non-negative integer; 0 if the value is absent.
func (f *formReader) number(name string) int {
	v := f.r.FormValue(name)
	if v == "" {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		f.addError(name, v, "a number")
	}
	return n
}

// duration parses a form value that is a non-negative duration; 0 if the value is absent.
func (f *formReader) duration(name string) time.Duration {
	v := f.r.FormValue(name)
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		f.addError(name, v, "a duration")
	}
	return d
}
