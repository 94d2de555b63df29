package fake

import (
	"context"
	"sync"
	"time"
)

// WeightStore is a stand-in for the store of expert weights. It delays fetches according
// to its transfer rate.
type WeightStore struct {
	mu       sync.Mutex
	rate     float64   // bytes per second, shared by all readers
	nextFree time.Time // time at which all queued transfers have ended
	isDown   bool
}

// NewWeightStore returns a store with a rate in bytes per second.
func NewWeightStore(rate float64) *WeightStore {
	return &WeightStore{rate: rate}
}

// SetDown makes all fetches fail if down is true, and succeed again otherwise.
func (w *WeightStore) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDown = down
}

// Fetch waits until size bytes have been transferred. The transfer starts after all queued
// transfers.
func (w *WeightStore) Fetch(ctx context.Context, size int64) error {
	w.mu.Lock()
	if w.isDown {
		w.mu.Unlock()
		return ErrDown
	}
	now := time.Now()
	if w.nextFree.Before(now) {
		w.nextFree = now
	}
	w.nextFree = w.nextFree.Add(time.Duration(float64(size) / w.rate * float64(time.Second)))
	readyAt := w.nextFree
	w.mu.Unlock()
	select {
	case <-time.After(time.Until(readyAt)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
