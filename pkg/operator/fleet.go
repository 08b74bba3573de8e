package operator

import "sort"

const (
	maxLagging  = 20 // ids listed in a status response
	statusAlive = "alive"
)

// countFleet counts the members by status, and the live members at or above the wanted version. It also returns the ids of up to
// maxLagging live members below it.
func countFleet(members []Member, wanted int64) (Fleet, []string) {
	fleet := Fleet{Wanted: wanted}
	var lagging []string
	for _, m := range members {
		switch m.Status {
		case statusAlive:
			fleet.Alive++
		case "suspect":
			fleet.Suspect++
		case "dead":
			fleet.Dead++
		}
		if m.Status != statusAlive {
			continue
		}
		if m.Version >= wanted {
			fleet.Reached++
			continue
		}
		lagging = append(lagging, m.ID)
	}
	sort.Strings(lagging)
	return fleet, lagging[:min(len(lagging), maxLagging)]
}
