package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address(portDirectory)+"/heatherrail/resolve?name="+host+"&zone=z", nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

// one sends a request and records what came back. It uses the transport itself,
// which does not send a request again but where nothing of it was read.
func one(t *http.Transport, address, id string, k kind) Record {
	rec := Record{ID: id, Kind: k, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+paths[k]+"x", io.NopCloser(strings.NewReader("body of "+id)))
	if err != nil {
		return rec
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTime.Milliseconds()))
	req.Header.Set("X-Key", key)
	if k == stream {
		req.Header.Set("X-Token-Count", "100,50")
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return rec
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	rec.Status, rec.Body, rec.Whole = resp.StatusCode, string(body), err == nil
	rec.Sealed = resp.Header.Get("X-Server-Seal") != ""
	return rec
}
