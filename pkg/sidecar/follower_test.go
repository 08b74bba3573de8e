package sidecar

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/laburnumcleat/laburnumcleat/pkg/metrics"
	"github.com/laburnumcleat/laburnumcleat/pkg/routing"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

// Pattern: many routes, versions in quick succession. Guards against memory that grows with the number of routes times the number of
// versions that are kept for nodes that are behind, and against changes over several versions that do not lead to the newest one.
func TestFollower_KeepsChangesOnly(t *testing.T) {
	const routes, versions = 500, 2 * maxChanges
	f := newFollower(nil, nil, rpc.NewServer(nil), metrics.New(), zap.NewNop())
	documents := []*routing.Document{nil}
	for version := range uint64(versions) {
		d := testDocument(version + 1)
		for i := range routes {
			r := d.Routes[0]
			r.Name, r.PathPrefix = fmt.Sprint("r", i), fmt.Sprintf("/r%d/", i)
			d.Routes = append(d.Routes, r)
		}
		d.Routes[version].TimeoutMS++ // in this version only
		documents = append(documents, d)
		f.activate(d, nil, "test")
	}
	require.Len(t, f.changes, maxChanges)
	kept := 0
	for _, c := range f.changes {
		kept += len(c.Routes)
	}
	assert.LessOrEqual(t, kept, 2*maxChanges)

	behind := newFollower(nil, nil, rpc.NewServer(nil), metrics.New(), zap.NewNop())
	behind.activate(documents[versions-maxChanges], nil, "test")
	served, err := f.serveDocument(context.Background(), fmt.Appendf(nil, `{"newer":%d}`, behind.version()))
	require.NoError(t, err)
	result := served.(documentResult)
	require.NotNil(t, result.Change)
	got, err := behind.resolveDocument(&result)
	require.NoError(t, err)
	assert.ElementsMatch(t, documents[versions].Routes, got.Routes)
}
