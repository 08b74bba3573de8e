// Package quarantine recognises requests that crash the backend servers which run them, and keeps them away from others.
//
// When a backend server crashes, each request that it was running is a suspect. Most suspects were only present. They may be sent again, but a
// backend server runs one suspect at a time, so that another crash while it runs shows that it is the cause: the request is blocked. A crash while
// it ran without being known as a suspect shows no more than the first one: backend servers that crash at the same time were running the same popular
// requests. An answer to a suspect clears it.
//
// All nodes share one table of such requests. Its records form a lattice: merging them in any order and any number of times gives the same
// result, so they can be pushed, pulled and repeated.
package quarantine
