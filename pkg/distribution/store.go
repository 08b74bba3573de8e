package distribution

import (
	"encoding/json"
	"sync"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
	"github.com/laburnumcleat/laburnumcleat/pkg/logstore"
)

// maxRetainedResults is the number of replay results kept to answer repeated publishes.
const maxRetainedResults = 4096

// store holds the applied state, the latest entries for peers and the latest results.
type store struct {
	mu           sync.Mutex
	state        *config.State
	entries      []logstore.Entry // contiguous, ending at state.Offset
	entryBytes   int
	maxEntries   int
	maxBytes     int
	results      map[string]config.Result // by record id; the first result of an id
	resultOrder  []string
	advanced     chan struct{} // closed when the state advances
	verified     position      // position at which the state was equal to what the log gives
	replacements int
}

// applyResult is what apply did.
type applyResult struct {
	results []config.Result // of the entries that extended the state
	stale   int             // entries at or below the position
	gap     bool            // entries beyond the position were left out
	first   int64           // offset of the first entry that extended the state
	state   *config.State   // afterwards
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

// watch returns a channel that is closed when the state advances, and the present offset.
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
			out.gap = true
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

// canonical returns the form that encoding/json gives to data inside a message. Every node replays this form, so that
// limits on the length of a record do not depend on the path that it took.
func canonical(data json.RawMessage) json.RawMessage {
	encoded, err := json.Marshal(data)
	if err != nil {
		encoded, _ = json.Marshal(string(data)) // strings are always encodable
	}
	return encoded
}

// install replaces the state by one of a higher offset. It reports false if the state is not ahead.
func (s *store) install(state *config.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Offset <= s.state.Offset {
		return false
	}
	s.replace(state)
	return true
}

// repair replaces a diverged state by the state that the log gives. It reports false if the node moved on to an offset
// beyond that state, or holds the same state.
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
	s.replacements++
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

// retainResult keeps the first result of each record id: a repeat does not change what became of the record.
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

// result returns what replay made of a record id, if this node replayed it lately.
func (s *store) result(id string) (config.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, ok := s.results[id]
	return result, ok
}

// entriesAfter returns kept entries that extend an offset, within the limits of a message. ok is false if the first of them
// is no longer kept.
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
