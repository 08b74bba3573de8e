package distribution

import (
	"encoding/json"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

// maxRetainedResults limits the replay results kept to answer retried publishes.
const maxRetainedResults = 4096

// store holds the applied state, the latest entries, which peers pull, and the latest replay results.
type store struct {
	mu          sync.Mutex
	state       *config.State
	entries     []logstore.Entry // contiguous, ending at state.Offset
	entryBytes  int
	maxEntries  int
	maxBytes    int
	results     map[string]config.Result // by record id; the first result of an id
	resultOrder []string
	advanced    chan struct{} // closed when the state advances
	verified    position      // position at which the state was equal to the one computed from the log
}

// applyResult is the result of apply.
type applyResult struct {
	results []config.Result // results of the entries that extended the state
	stale   int             // number of entries at or below the position
	first   int64           // offset of the first entry that extended the state; 0: none
	state   *config.State   // state after apply
}

func newStore(maxEntries, maxBytes int) *store {
	return &store{
		state:      config.NewState(),
		maxEntries: maxEntries,
		maxBytes:   maxBytes,
		results:    make(map[string]config.Result),
		advanced:   make(chan struct{}),
	}
}

func (s *store) current() *config.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// watch returns a channel that is closed when the state advances, and the current offset.
func (s *store) watch() (<-chan struct{}, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.advanced, s.state.Offset
}

// apply replays the entries that extend the state without a gap and ignores the others.
func (s *store) apply(entries []logstore.Entry) applyResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out applyResult
	for _, entry := range entries {
		if entry.Offset <= s.state.Offset {
			out.stale++
			continue
		}
		if entry.Offset != s.state.Offset+1 {
			break
		}
		entry.Data = canonical(entry.Data)
		var result config.Result
		s.state, result = config.Apply(s.state, entry.Offset, entry.Data)
		if out.first == 0 {
			out.first = entry.Offset
		}
		out.results = append(out.results, result)
		s.retainEntry(entry)
		s.retainResult(result)
	}
	out.state = s.state
	if out.first != 0 {
		s.notify()
	}
	return out
}

// canonical returns data as encoding/json encodes it inside a message: compacted and escaped. Every node replays this form,
// so that limits on the length of a record do not depend on the path by which it arrived.
func canonical(data json.RawMessage) json.RawMessage {
	encoded, err := json.Marshal(data)
	if err != nil {
		encoded, _ = json.Marshal(string(data)) // strings are always encodable
	}
	return encoded
}

// install replaces the state by one of a higher offset. It reports false if the new state is not ahead.
func (s *store) install(state *config.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Offset <= s.state.Offset {
		return false
	}
	s.replace(state)
	return true
}

// repair replaces a diverged state by the reference computed from the log. It reports false if the state has a higher offset
// than the reference or equals it.
func (s *store) repair(reference *config.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reference.Offset < s.state.Offset {
		return false
	}
	if reference.Offset == s.state.Offset && reference.Digest() == s.state.Digest() {
		return false
	}
	s.replace(reference)
	s.verified = positionOf(reference)
	return true
}

func (s *store) replace(state *config.State) {
	s.state = state
	s.entries, s.entryBytes = nil, 0
	s.results, s.resultOrder = make(map[string]config.Result), nil
	s.notify()
}

func (s *store) notify() {
	close(s.advanced)
	s.advanced = make(chan struct{})
}

func (s *store) retainEntry(entry logstore.Entry) {
	s.entries = append(s.entries, entry)
	s.entryBytes += len(entry.Data)
	for len(s.entries) > s.maxEntries || s.entryBytes > s.maxBytes && len(s.entries) > 1 {
		s.entryBytes -= len(s.entries[0].Data)
		s.entries = s.entries[1:]
	}
}

// retainResult stores the first result of each record id. A duplicate does not change the outcome of a record.
func (s *store) retainResult(result config.Result) {
	if result.RecordID == "" || result.Outcome == config.Duplicate {
		return
	}
	s.results[result.RecordID] = result
	s.resultOrder = append(s.resultOrder, result.RecordID)
	if len(s.resultOrder) > maxRetainedResults {
		delete(s.results, s.resultOrder[0])
		s.resultOrder = s.resultOrder[1:]
	}
}

// result returns the replay result of a record id, if this node replayed the record and still retains the result.
func (s *store) result(id string) (config.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, ok := s.results[id]
	return result, ok
}

// entriesAfter returns the retained entries that follow an offset, within the size limits of a message, and the current
// state. ok is false if the first of these entries is no longer retained.
func (s *store) entriesAfter(offset int64) (entries []logstore.Entry, state *config.State, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset >= s.state.Offset {
		return nil, s.state, true
	}
	if len(s.entries) == 0 || s.entries[0].Offset > offset+1 {
		return nil, s.state, false
	}
	size := 0
	for _, entry := range s.entries[offset+1-s.entries[0].Offset:] {
		size += len(entry.Data)
		if len(entries) > 0 && (len(entries) >= maxMessageEntries || size > maxMessageBytes) {
			break
		}
		entries = append(entries, entry)
	}
	return entries, s.state, true
}

func positionOf(state *config.State) position {
	return position{Offset: state.Offset, Digest: state.Digest()}
}

func (s *store) isVerified(p position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verified == p
}

func (s *store) setVerified(p position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verified = p
}
