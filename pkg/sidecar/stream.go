package sidecar

import (
	"context"
	"io"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
)

// heldSlot keeps the slot of a call until its long response has been passed on.
type heldSlot struct {
	io.ReadCloser
	grant  *admission.Grant
	result admission.Result
	once   sync.Once
}

func (h *heldSlot) Close() error {
	err := h.ReadCloser.Close()
	h.once.Do(func() { h.grant.Release(h.result) })
	return err
}

// cancelOnClose ends the context of an exchange with its response.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
