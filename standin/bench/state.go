package bench

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/membership"
)

const stateSample = 1000 // number of members, services or routes in a sample

// stateSizes prints the heap bytes per member, service and route, and the encoded bytes per service and route.
func stateSizes(o Options) error {
	var table *membership.Table
	members := retainedHeap(func() {
		table = membership.NewTable(time.Minute)
		for i := range stateSample {
			table.Merge(time.Time{}, sampleMember(i), 0)
		}
	})
	runtime.KeepAlive(table)
	base, err := sampleState(1, 0)
	if err != nil {
		return err
	}
	services, err := sampleState(stateSample, 0)
	if err != nil {
		return err
	}
	routes, err := sampleState(1, stateSample)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "bench=fleet_state heap_bytes_per_member=%.0f heap_bytes_per_service=%.0f heap_bytes_per_route=%.0f"+
		" encoded_bytes_per_service=%.0f encoded_bytes_per_route=%.0f\n",
		members/stateSample, (services.heap-base.heap)/stateSample, (routes.heap-base.heap)/stateSample,
		(services.encoded-base.encoded)/stateSample, (routes.encoded-base.encoded)/stateSample)
	return nil
}

// retainedHeap returns the heap bytes that remain allocated after build and a garbage collection.
func retainedHeap(build func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // sync.Pool keeps its objects for one more collection
	runtime.ReadMemStats(&before)
	build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func sampleMember(i int) membership.Member {
	address := func(port int) string { return fmt.Sprintf("10.20.%d.%d:%d", i/250, i%250, port) }
	return membership.Member{
		ID: fmt.Sprintf("underberg-crewview-%d", i), Region: "drakensberg", DataCentre: "underberg",
		ControlAddress: address(7003), CallAddress: address(7002), APIAddress: address(7004),
		Incarnation: uint64(i), Status: membership.Alive,
		Endpoint: &membership.Endpoint{Service: "crewview", Address: address(7100), Slots: 10, Connections: 120, State: membership.EndpointReady, Sequence: 2},
	}
}

// stateSize is the size of a configuration state, including its snapshot.
type stateSize struct {
	heap, encoded float64 // bytes
}

func sampleState(services, routes int) (stateSize, error) {
	state := config.NewState()
	var failure error
	heap := retainedHeap(func() {
		failure = extendSample(&state, services, routes)
	})
	if failure != nil {
		return stateSize{}, failure
	}
	encoded, err := state.Encode()
	runtime.KeepAlive(state)
	return stateSize{heap, float64(len(encoded))}, err
}

type sampleService struct {
	Name string `json:"name"`
}

type sampleRoute struct {
	Name      string `json:"name"`
	Prefix    string `json:"path_prefix"`
	Service   string `json:"service"`
	Rank      string `json:"rank"`
	TimeoutMS int    `json:"timeout_ms"`
}

type sampleRank struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	TargetMS int    `json:"target_ms"`
}

type sampleBody struct {
	Ranks    []sampleRank    `json:"ranks"`
	Services []sampleService `json:"services"`
	Routes   []sampleRoute   `json:"routes,omitempty"`
}

type sampleTemplate struct {
	Body sampleBody `json:"body"`
}

func extendSample(state **config.State, services, routes int) error {
	var body sampleBody
	body.Ranks = []sampleRank{{Name: "order", Priority: 1, TargetMS: 200}}
	for i := range services {
		body.Services = append(body.Services, sampleService{fmt.Sprintf("service-%04d", i)})
	}
	for i := range routes {
		body.Routes = append(body.Routes, sampleRoute{fmt.Sprintf("route-%04d", i), fmt.Sprintf("/v1/route-%04d/", i), "service-0000", "order", 1000})
	}
	template, err := json.Marshal(sampleTemplate{body})
	if err != nil {
		return eris.Wrap(err, "encoding a template")
	}
	payloads := []struct {
		entity  config.Entity
		payload []byte
	}{
		{config.TemplateEntity("sample"), template},
		{config.ParametersEntity("test", "sample"), []byte(`{"values":{}}`)},
	}
	for i, p := range payloads {
		id, err := uuid.NewV7()
		if err != nil {
			return eris.Wrap(err, "making a record id")
		}
		record, err := json.Marshal(config.Record{ID: id.String(), Verb: config.Publish, Entity: p.entity, Payload: p.payload, Author: "bench"})
		if err != nil {
			return eris.Wrap(err, "encoding a record")
		}
		next, result := config.Apply(*state, int64(i+1), record)
		if result.Outcome != config.Accepted {
			return eris.Errorf("sample state: %s %v", result.Outcome, result.Errors)
		}
		*state = next
	}
	return nil
}
