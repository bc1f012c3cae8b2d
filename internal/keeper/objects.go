package keeper

import (
	"context"
	"sync"

	"cowslipbend.dev"
)

// Objects is a cowslipbend.Objects in memory. The zero value is empty and ready
// to use.
type Objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

// Put writes an object.
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.data == nil {
		o.data = map[string][]byte{}
	}
	o.data[name] = append([]byte(nil), data...)
	return nil
}

// Get reads an object or returns KindMissing.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, cowslipbend.Fail(cowslipbend.KindMissing, "no object "+name, "check the name; the object may have been deleted")
	}
	return data, nil
}

// Delete removes an object.
func (o *Objects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.data, name)
	return nil
}
