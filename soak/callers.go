package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Names that callers use.
const (
	host = "kitchen.example"
	key  = "k-1"
	team = "kitchen"
)

var paths = [kinds]string{once: "/once/", idempotent: "/idem/", stream: "/stream/"}

const (
	callPause   = 30 * time.Millisecond
	callTime    = 4 * time.Second
	answerKept  = time.Second // of the directory
	resolveTime = 500 * time.Millisecond
)

// call sends requests one after the other, as a caller does: it keeps connections,
// and asks the directory now and then.
func (s *soak) call(ctx context.Context, caller int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 9))
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4, ResponseHeaderTimeout: callTime}
	defer transport.CloseIdleConnections()
	var addresses []string
	var resolved time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(resolved) > answerKept || len(addresses) == 0 {
			if got := s.resolve(ctx, rng); len(got) > 0 {
				addresses, resolved = got, time.Now()
			}
		}
		if len(addresses) > 0 {
			id := fmt.Sprintf("r%d-%d", caller, n)
			s.books.saw(one(transport, addresses[rng.IntN(len(addresses))], id, kind(rng.IntN(int(kinds)))))
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * callPause))))
	}
}

func (s *soak) resolve(ctx context.Context, rng *rand.Rand) []string {
	e := s.fleet.entries[rng.IntN(len(s.fleet.entries))]
	ctx, cancel := context.WithTimeout(ctx, resolveTime)
	defer cancel()
	return standin.Resolve(ctx, e.address(portDirectory), host, "z")
}

// one sends a request and records what came back.
func one(t *http.Transport, address, id string, k kind) Record {
	rec := Record{ID: id, Kind: k, Sent: time.Now()}
	rec.Response = standin.Send(t, address, standin.Request{
		Host: host, Path: paths[k] + "x", ID: id, Key: key, Timeout: callTime, Stream: k == stream,
	})
	return rec
}
