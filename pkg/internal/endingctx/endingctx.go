// Package endingctx has a context for tests that reaches its deadline between two reads of its error.
package endingctx

import "context"

// Context reaches its deadline after Reads reads of its error. It is not safe for concurrent use.
type Context struct {
	context.Context
	Reads int
}

// Err implements context.Context.
func (c *Context) Err() error {
	if c.Reads == 0 {
		return context.DeadlineExceeded
	}
	c.Reads--
	return nil
}
