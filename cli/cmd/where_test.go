package cmd

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/laburnumcleat/laburnumcleat/pkg/dryrun"
)

// Guards against a table that leaves out the reason for a choice, and against an age of 0 for an endpoint that nothing is known of.
func TestWriteWhere(t *testing.T) {
	age, left := int64(40), 12.5
	a := dryrun.Answer{
		Node: "seeb-1", DataCentre: "seeb", Version: 7, Route: "orders", Services: []string{"dispatch"}, Service: "dispatch", Team: "blue", LimitLeft: &left, Rank: 1,
		Candidates: []dryrun.Candidate{
			{ID: "seeb-2", DataCentre: "seeb", Score: 0.87, InTime: 0.95, BusyCost: 0.08, Calls: 7, Limit: 9, ReportAgeMS: &age},
			{ID: "nizwa-1", DataCentre: "nizwa", Score: 0.2, InTime: 0.24, RemoteCost: 0.04, Limit: 9, LeftOut: "no response"},
		},
	}
	var out bytes.Buffer
	writeWhere(&out, &a)
	assert.Contains(t, out.String(), "team blue, left of its limit: 12.5 requests")
	assert.Regexp(t, `seeb-2 +seeb +0.87 +0.95 +-0.08 .* 40 +-`, out.String())
	assert.Regexp(t, `nizwa-1 +nizwa +0.20 .* -0.04 .* - +no response`, out.String())
	out.Reset()
	a.LimitLeft, a.Refusal, a.Candidates = nil, "no_endpoint", nil
	writeWhere(&out, &a)
	assert.Contains(t, out.String(), "left of its limit: not known")
	assert.Contains(t, out.String(), "refused: no_endpoint")
	encoded, err := json.Marshal(a)
	require.NoError(t, err)
	assert.NotContains(t, string(encoded), "limit_left")
}

func TestWhere_Usage(t *testing.T) {
	for _, arguments := range [][]string{
		{"--host", "h", "--path", "/"}, {"--control", "127.0.0.1:1", "--path", "/"}, {"--control", "127.0.0.1:1", "--host", "h", "--path", "x"},
	} {
		var out, errors bytes.Buffer
		assert.Equal(t, ExitUsage, Run(append([]string{"where"}, arguments...), &out, &errors), errors.String())
	}
	var out, errors bytes.Buffer
	assert.NotEqual(t, ExitOK, Run([]string{"where", "--control", "127.0.0.1:1", "--host", "h", "--path", "/"}, &out, &errors))
	assert.Contains(t, errors.String(), "check that the node is running")
}
