package fleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/standin/backend"
)

// Execution is the start of one execution on a backend server.
type Execution struct {
	Node *Node // node of the backend server
	ID   string
	At   time.Time
}

// ExecutionList returns the executions of all backend servers, including killed ones.
func (f *Fleet) ExecutionList() ([]Execution, error) {
	var list []Execution
	for _, n := range f.Nodes {
		var err error
		if list, err = n.readExecutions(f.path(n.ID+".executions"), list); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// Executions returns the number of executions of each request id, summed over all backend servers including killed ones.
func (f *Fleet) Executions() (map[string]int, error) {
	list, err := f.ExecutionList()
	executions := make(map[string]int, len(list))
	for i := range list {
		executions[list[i].ID]++
	}
	return executions, err
}

func (n *Node) readExecutions(path string, list []Execution) ([]Execution, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return list, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "opening executions")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		id, text, _ := strings.Cut(lines.Text(), " ")
		at, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, eris.Wrapf(err, "parsing executions of %s", n.ID)
		}
		list = append(list, Execution{Node: n, ID: id, At: time.UnixMicro(at)})
	}
	return list, eris.Wrap(lines.Err(), "reading executions")
}

// BackendStats reads the counters of the backend server.
func (n *Node) BackendStats() (backend.Stats, error) {
	var stats backend.Stats
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Get(n.BackendURL + "/stats")
	if err != nil {
		return stats, eris.Wrapf(err, "reading stats of the backend server of %s", n.ID)
	}
	defer response.Body.Close()
	return stats, eris.Wrap(json.NewDecoder(response.Body).Decode(&stats), "decoding stats")
}
