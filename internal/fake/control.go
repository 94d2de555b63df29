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

// Control is the HTTP address through which scenarios put faults into the
// stand-ins and read what they did. docs/STANDINS.md lists its requests.
type Control struct {
	mux    *http.ServeMux
	mu     sync.Mutex
	relays []*Relay
}

// ErrUnknown is answered for names that there are not.
var ErrUnknown = errors.New("there is nothing of this name")

// NewControl returns an empty control.
func NewControl() *Control {
	c := &Control{mux: http.NewServeMux()}
	c.Handle("POST /relays", c.addRelay)
	c.Handle("POST /relays/{id}", c.setRelay)
	return c
}

// ServeHTTP implements http.Handler.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

// Handle adds a request; what f returns is answered as JSON.
func (c *Control) Handle(pattern string, f func(r *http.Request) (any, error)) {
	c.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		v, err := f(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v) // a scenario that left needs no answer
	})
}

// done is the answer of requests that only change something.
var done = map[string]bool{"done": true}

// AddLog puts the log's faults on the control.
func (c *Control) AddLog(l *Log) {
	c.Handle("GET /log", func(*http.Request) (any, error) { return l.State(), nil })
	c.Handle("POST /log", func(r *http.Request) (any, error) {
		f := formReader{r: r}
		faults := LogFaults{Down: f.yes("down"), LoseAnswers: f.number("lose-answers"), Delay: f.duration("delay")}
		if f.err == nil {
			l.SetFaults(faults)
		}
		return done, f.err
	})
	c.Handle("POST /log/trim", func(r *http.Request) (any, error) {
		f := formReader{r: r}
		l.Trim(uint64(f.number("before")))
		return done, f.err
	})
}

// AddVMs puts the VM list on the control.
func (c *Control) AddVMs(l *VMList) {
	c.Handle("POST /vms/lag", func(r *http.Request) (any, error) {
		f := formReader{r: r}
		l.SetLag(f.duration("lag"))
		return done, f.err
	})
	c.Handle("PUT /vms", func(r *http.Request) (any, error) {
		var vm outside.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			return nil, fmt.Errorf("vm: %w", err)
		}
		l.Put(vm)
		return done, nil
	})
	c.Handle("DELETE /vms/{id}", func(r *http.Request) (any, error) {
		l.Remove(r.PathValue("id"))
		return done, nil
	})
}

// GroupState is what a rank group in lock-step has done so far.
type GroupState struct {
	Steps uint64 `json:"steps"`
	Idle  uint64 `json:"idle"`  // ticks without a step though all engines could run
	Map   string `json:"map"`   // in use, hexadecimal
	Mixed string `json:"mixed"` // the first step that used two maps; empty: none did
}

// AddGroups puts rank groups on the control.
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
		return done, f.err
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
	faults := RelayFaults{Delay: f.duration("delay"), Freeze: f.yes("freeze"), Duplicate: f.number("duplicate")}
	if f.err != nil {
		return nil, f.err
	}
	c.relays[id].SetFaults(faults)
	if f.yes("cut") {
		c.relays[id].Cut()
	}
	return done, nil
}

// Close ends the relays.
func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.relays {
		r.Close()
	}
}

// formReader reads typed values and keeps the first error.
type formReader struct {
	r   *http.Request
	err error
}

func (f *formReader) fail(name, value, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s=%q: want %s", name, value, want)
	}
}

func (f *formReader) yes(name string) bool {
	v := f.r.FormValue(name)
	if v != "" && v != "yes" && v != "no" {
		f.fail(name, v, "yes or no")
	}
	return v == "yes"
}

func (f *formReader) number(name string) int {
	v := f.r.FormValue(name)
	if v == "" {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		f.fail(name, v, "a number")
	}
	return n
}

func (f *formReader) duration(name string) time.Duration {
	v := f.r.FormValue(name)
	if v == "" {
		return 0
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		f.fail(name, v, "a duration")
	}
	return d
}
