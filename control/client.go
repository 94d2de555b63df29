package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// Client queries processes on behalf of an operator.
type Client struct {
	VMs  outside.VMList
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// maxParallelQueries bounds how many processes are queried at once; queryTimeout applies to
// each query.
const (
	maxParallelQueries = 32
	queryTimeout       = 3 * time.Second
)

// noopHandler serves no streams and ignores notes.
type noopHandler struct{}

// ServeStream implements wire.Handler.
func (noopHandler) ServeStream(_ context.Context, s *wire.Stream, m wire.Method, _ []byte) {
	_ = s.Refuse(result.New(result.WireUnknownKind, "method %d", m)) // on a lost connection there is no receiver
}

// ServeNote implements wire.Handler.
func (noopHandler) ServeNote(*wire.Conn, wire.Note, []byte) {}

func (c *Client) connect(ctx context.Context, addr string) (*wire.Conn, error) {
	nc, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	return wire.Client(nc, wire.Hello{Name: "heatherrail", Role: wire.RoleTool}, noopHandler{}, wire.Options{})
}

// State returns the saved state of the first listed entry that returns one.
func (c *Client) State(ctx context.Context) ([]byte, error) {
	vms, err := c.VMs.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	err = errors.New("no entries in the VM list")
	for _, vm := range vms {
		if vm.Role != outside.RoleEntry {
			continue
		}
		var state []byte
		if state, err = c.fetchState(ctx, vm.Address); err == nil {
			return state, nil
		}
	}
	return nil, err
}

func (c *Client) fetchState(ctx context.Context, addr string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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
		return nil, fmt.Errorf("entry %s sent no state", conn.Peer().Name)
	}
	return state, nil
}

// Answer is the status reply of one process, or the error of the query.
type Answer struct {
	VM     outside.VM
	Status *wire.StatusReply
	Err    error
}

// Status queries all listed processes of a role (empty: all roles). Answers are in the
// order of the VM list.
func (c *Client) Status(ctx context.Context, role string, full bool) ([]Answer, error) {
	return c.query(ctx, wire.MethodStatus, &wire.StatusRequest{Full: full}, func(vm *outside.VM) bool {
		return role == "" || vm.Role == role
	})
}

// Drain takes the named process out of service, or, with undo, back into service.
func (c *Client) Drain(ctx context.Context, name string, undo bool) (Answer, error) {
	answers, err := c.query(ctx, wire.MethodDrain, &wire.DrainRequest{Undo: undo}, func(vm *outside.VM) bool { return vm.Name == name })
	if err != nil {
		return Answer{}, err
	}
	if len(answers) == 0 {
		return Answer{}, fmt.Errorf("no VM named %s in the VM list", name)
	}
	return answers[0], answers[0].Err
}

func (c *Client) query(ctx context.Context, m wire.Method, msg marshaler, matches func(*outside.VM) bool) ([]Answer, error) {
	vms, err := c.VMs.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	var mu sync.Mutex
	var answers []Answer
	p := pool.New().WithMaxGoroutines(maxParallelQueries)
	for _, vm := range vms {
		if !matches(&vm) {
			continue
		}
		mu.Lock()
		answers = append(answers, Answer{VM: vm})
		i := len(answers) - 1
		mu.Unlock()
		p.Go(func() {
			status, err := c.queryVM(ctx, vm.Address, m, msg)
			mu.Lock()
			defer mu.Unlock()
			answers[i].Status, answers[i].Err = status, err
		})
	}
	p.Wait()
	return answers, nil
}

func (c *Client) queryVM(ctx context.Context, addr string, m wire.Method, msg marshaler) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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
		return nil, result.New(result.WireMalformed, "process %s sent no status", conn.Peer().Name)
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

// Accepted reports whether a listed entry has a change in force, or has had.
func (c *Client) Accepted(ctx context.Context, change string) bool {
	answers, err := c.queryChange(ctx, change)
	return err == nil && slices.ContainsFunc(answers, func(a Answer) bool { return a.Err == nil && a.Status.Effect == wire.EffectInForce })
}

// queryChange queries all listed entries for the effect of a change.
func (c *Client) queryChange(ctx context.Context, change string) ([]Answer, error) {
	return c.query(ctx, wire.MethodStatus, &wire.StatusRequest{Change: change}, func(vm *outside.VM) bool { return vm.Role == outside.RoleEntry })
}

// inForcePollInterval is the pause between two queries of all entries for the version that
// they have in force.
const inForcePollInterval = 250 * time.Millisecond

// WaitInForce waits until every listed entry has a change, or a later one, in force, and then returns
// nil. If ctx ends first, it returns the answers of the entries that have not, or that could not be
// queried. For an entry of an earlier build, which knows versions only, version decides.
func (c *Client) WaitInForce(ctx context.Context, change string, version uint64) ([]Answer, error) {
	for {
		answers, err := c.queryChange(context.WithoutCancel(ctx), change)
		if err != nil {
			return nil, err
		}
		var behind []Answer
		for _, a := range answers {
			if a.Err != nil || a.Status.Effect == wire.EffectPending || (a.Status.Effect == wire.EffectUnknown && a.Status.Version < version) {
				behind = append(behind, a)
			}
		}
		if len(behind) == 0 {
			return nil, nil
		}
		select {
		case <-time.After(inForcePollInterval):
		case <-ctx.Done():
			return behind, nil
		}
	}
}
