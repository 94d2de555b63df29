package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// Client asks processes on behalf of an operator.
type Client struct {
	VMs  outside.VMList
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// clientParallel bounds how many processes are asked at once; clientTimeout is for each.
const (
	clientParallel = 32
	clientTimeout  = 3 * time.Second
)

// silentHandler is for a side that serves nothing.
type silentHandler struct{}

// ServeStream implements wire.Handler.
func (silentHandler) ServeStream(_ context.Context, s *wire.Stream, m wire.Method, _ []byte) {
	_ = s.Refuse(result.New(result.WireUnknownKind, "method %d", m)) // nobody waits for it
}

// ServeNote implements wire.Handler.
func (silentHandler) ServeNote(*wire.Conn, wire.Note, []byte) {}

func (c *Client) connect(ctx context.Context, addr string) (*wire.Conn, error) {
	nc, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	return wire.Client(nc, wire.Hello{Name: "heatherrail", Role: wire.RoleTool}, silentHandler{}, wire.Options{})
}

// State returns the saved state of the first entry that has one.
func (c *Client) State(ctx context.Context) ([]byte, error) {
	vms, err := c.VMs.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	err = errors.New("no entries are listed")
	for _, vm := range vms {
		if vm.Role != outside.RoleEntry {
			continue
		}
		var state []byte
		if state, err = c.state(ctx, vm.Address); err == nil {
			return state, nil
		}
	}
	return nil, err
}

func (c *Client) state(ctx context.Context, addr string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reply, state, err := Tail(ctx, conn, &wire.TailRequest{Cold: true})
	if err != nil {
		return nil, err
	}
	if !reply.State {
		return nil, fmt.Errorf("%s sent no state", conn.Peer().Name)
	}
	return state, nil
}

// Answer is what one process said, or why it did not.
type Answer struct {
	VM     outside.VM
	Status *wire.StatusReply
	Err    error
}

// Status asks all listed processes of a role (empty: all), in the list's order.
func (c *Client) Status(ctx context.Context, role string, full bool) ([]Answer, error) {
	return c.ask(ctx, wire.MethodStatus, &wire.StatusRequest{Full: full}, func(vm *outside.VM) bool {
		return role == "" || vm.Role == role
	})
}

// Drain takes the process of a name out of service, or back in.
func (c *Client) Drain(ctx context.Context, name string, undo bool) (Answer, error) {
	answers, err := c.ask(ctx, wire.MethodDrain, &wire.DrainRequest{Undo: undo}, func(vm *outside.VM) bool { return vm.Name == name })
	if err != nil {
		return Answer{}, err
	}
	if len(answers) == 0 {
		return Answer{}, fmt.Errorf("no VM is listed for %s", name)
	}
	return answers[0], answers[0].Err
}

func (c *Client) ask(ctx context.Context, m wire.Method, msg note, want func(*outside.VM) bool) ([]Answer, error) {
	vms, err := c.VMs.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	var mu sync.Mutex
	var answers []Answer
	p := pool.New().WithMaxGoroutines(clientParallel)
	for _, vm := range vms {
		if !want(&vm) {
			continue
		}
		mu.Lock()
		answers = append(answers, Answer{VM: vm})
		i := len(answers) - 1
		mu.Unlock()
		p.Go(func() {
			status, err := c.askOne(ctx, vm.Address, m, msg)
			mu.Lock()
			defer mu.Unlock()
			answers[i].Status, answers[i].Err = status, err
		})
	}
	p.Wait()
	return answers, nil
}

func (c *Client) askOne(ctx context.Context, addr string, m wire.Method, msg note) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	s, err := conn.Open(m, msg)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	ev, err := s.Recv(ctx)
	if errors.Is(err, io.EOF) {
		return nil, result.New(result.WireMalformed, "%s sent no status", conn.Peer().Name)
	}
	if err != nil {
		return nil, err
	}
	r := new(wire.StatusReply)
	if _, err := r.UnmarshalMsg(ev.Data); err != nil {
		return nil, result.New(result.WireMalformed, "status of %s: %w", conn.Peer().Name, err)
	}
	return r, nil
}

// waitPoll is how often processes are asked until a version is in force.
const waitPoll = 250 * time.Millisecond

// WaitInForce returns nil when every listed entry has reported a version at least
// as new, or those that have not when ctx ends.
func (c *Client) WaitInForce(ctx context.Context, version uint64) ([]Answer, error) {
	for {
		answers, err := c.Status(context.WithoutCancel(ctx), outside.RoleEntry, false)
		if err != nil {
			return nil, err
		}
		var behind []Answer
		for _, a := range answers {
			if a.Err != nil || a.Status.Version < version {
				behind = append(behind, a)
			}
		}
		if len(behind) == 0 {
			return nil, nil
		}
		select {
		case <-time.After(waitPoll):
		case <-ctx.Done():
			return behind, nil
		}
	}
}
