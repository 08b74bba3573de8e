package sidecar

import (
	"context"
	"io"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/admission"
)

// releaseOnClose holds the slot of a call until its streamed response body is closed.
type releaseOnClose struct {
	io.ReadCloser
	grant  *admission.Grant
	result admission.Result
	once   sync.Once
}

func (r *releaseOnClose) Close() error {
	err := r.ReadCloser.Close()
	r.once.Do(func() { r.grant.Release(r.result) })
	return err
}

// cancelOnClose cancels the context of an exchange when the response body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
