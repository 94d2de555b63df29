package fake

import (
	"context"
	"sync"
	"time"
)

// WeightStore hands out expert weights at a limited rate.
type WeightStore struct {
	mu     sync.Mutex
	rate   float64 // bytes a second over all readers
	free   time.Time
	isDown bool
}

// NewWeightStore returns a store with a rate in bytes a second.
func NewWeightStore(rate float64) *WeightStore {
	return &WeightStore{rate: rate}
}

// SetDown makes every fetch fail, or work again.
func (w *WeightStore) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDown = down
}

// Fetch waits until size bytes have passed at the store's rate.
func (w *WeightStore) Fetch(ctx context.Context, size int64) error {
	w.mu.Lock()
	if w.isDown {
		w.mu.Unlock()
		return ErrDown
	}
	now := time.Now()
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(float64(size) / w.rate * float64(time.Second)))
	ready := w.free
	w.mu.Unlock()
	select {
	case <-time.After(time.Until(ready)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
