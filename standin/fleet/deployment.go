// Package fleet runs a complete deployment on loopback as separate processes: the log service stand-in, nodes and backend
// servers. The demo, the benchmarks and the failure tests use it.
package fleet

import "fmt"

// Service is a group of backend servers in a deployment.
type Service struct {
	Name           string
	BackendServers int
	ServiceTimeMS  int // mean service time of a call
}

// Deployment describes the fleet of one of the example users.
type Deployment struct {
	Name        string // directory below examples/
	Region      string
	DataCentres []string
	Services    []Service
	Slots       int // of each backend server
	Connections int // of each backend server
}

// Falaj is the deployment of Falaj Cistern Logistics.
func Falaj() Deployment {
	return Deployment{
		Name: "falaj", Region: "muscat",
		DataCentres: []string{"seeb", "nizwa", "sohar"},
		Services:    []Service{{"tracker", 3, 20}, {"dispatch", 3, 20}, {"records", 5, 20}},
		Slots:       10, Connections: 120,
	}
}

// VanDerMerwe is the deployment of Van der Merwe Icicle Clearance.
func VanDerMerwe() Deployment {
	return Deployment{
		Name: "van-der-merwe", Region: "drakensberg",
		DataCentres: []string{"underberg", "bergville", "himeville"},
		Services:    []Service{{"crewview", 3, 20}, {"bookings", 3, 20}, {"sitecheck", 4, 20}},
		Slots:       6, Connections: 110,
	}
}

// Scaled returns the deployment with its services scaled in proportion to the given number of nodes. Rounding can make the
// deployment larger than requested if the first service cannot be reduced enough.
func (d Deployment) Scaled(nodes int) Deployment {
	base := d.Size()
	scaled := d
	scaled.Services = make([]Service, len(d.Services))
	for i, s := range d.Services {
		s.BackendServers = (s.BackendServers*nodes + base - 1) / base
		scaled.Services[i] = s
	}
	for scaled.Size() > nodes && scaled.Services[0].BackendServers > 1 {
		scaled.Services[0].BackendServers--
	}
	return scaled
}

// Size returns the number of backend servers, which is also the number of nodes.
func (d Deployment) Size() int {
	size := 0
	for _, s := range d.Services {
		size += s.BackendServers
	}
	return size
}

// placement is the location of one backend server and its node.
type placement struct {
	id         string
	service    Service
	dataCentre int // index into DataCentres
}

// placements distributes the backend servers of each service over the data centres in round-robin order.
func (d Deployment) placements() []placement {
	var placements []placement
	for _, s := range d.Services {
		for i := range s.BackendServers {
			dc := i % len(d.DataCentres)
			id := fmt.Sprintf("%s-%s-%d", d.DataCentres[dc], s.Name, i+1)
			placements = append(placements, placement{id: id, service: s, dataCentre: dc})
		}
	}
	return placements
}
