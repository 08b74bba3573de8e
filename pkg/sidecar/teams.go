package sidecar

import "github.com/laburnumcleat/laburnumcleat/pkg/routing"

// identify decides which team a request belongs to, before its body is read. It returns a refusal for a request that may not run.
func (o *outbound) identify(*request, *routing.Table) *result { return nil }
