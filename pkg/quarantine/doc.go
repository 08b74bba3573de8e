// Package quarantine recognises requests that crash the backend servers which run them.
package quarantine
