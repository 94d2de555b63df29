package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Host name and API key that the callers send, and the team that the key belongs to.
const (
	host = "kitchen.example"
	key  = "k-1"
	team = "kitchen"
)

var paths = [numKinds]string{nonIdempotent: "/once/", idempotent: "/idem/", stream: "/stream/"}

const (
	meanCallPause  = 30 * time.Millisecond
	callTimeout    = 4 * time.Second
	directoryTTL   = time.Second // how long a caller uses the addresses from one directory response
	resolveTimeout = 500 * time.Millisecond
)

// runCaller simulates one caller: it sends requests one after another until ctx ends.
// Like a real caller, it reuses connections, and queries the directory for the addresses
// of the entries again after directoryTTL.
func (s *soak) runCaller(ctx context.Context, caller int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 9))
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4, ResponseHeaderTimeout: callTimeout}
	defer transport.CloseIdleConnections()
	var addresses []string
	var resolvedAt time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(resolvedAt) > directoryTTL || len(addresses) == 0 {
			if answer := s.resolve(ctx, rng); len(answer) > 0 {
				addresses, resolvedAt = answer, time.Now()
			}
		}
		if len(addresses) > 0 {
			id := fmt.Sprintf("r%d-%d", caller, n)
			s.checker.recordResponse(s.sendRequest(transport, addresses[rng.IntN(len(addresses))], id, kind(rng.IntN(int(numKinds)))))
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanCallPause))))
	}
}

// resolve queries the directory of a random entry for the entries' addresses.
func (s *soak) resolve(ctx context.Context, rng *rand.Rand) []string {
	e := s.fleet.entries[rng.IntN(len(s.fleet.entries))]
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	return standin.Resolve(ctx, e.address(portDirectory), host, "z")
}

// sendRequest sends one request and returns a Record of the request and its response.
func (s *soak) sendRequest(t *http.Transport, address, id string, k kind) Record {
	rec := Record{ID: id, Kind: k, Entry: address, Sent: time.Now()}
	path := paths[k]
	if k == configured {
		rec.Config = s.fleet.newestConfig()
		path = rec.Config.path()
	}
	rec.Response = standin.Send(t, address, standin.Request{
		Host: host, Path: path + "x", ID: id, Key: key, Timeout: callTimeout, Stream: k == stream,
	})
	return rec
}
