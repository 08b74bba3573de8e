package membership

import (
	"maps"
	"slices"
	"time"
)

// Limits of one anti-entropy exchange. Entries beyond them are left to the next exchange.
const (
	maxSyncVersions = 512
	maxSyncUpdates  = 128
)

// mismatchRetentionIntervals is the number of probe intervals without a digest mismatch after which mismatchSince is reset.
const mismatchRetentionIntervals = 4

// compareDigest records whether a peer's table differs. A mismatch that gossip has not resolved within twice the probe interval
// triggers anti-entropy. A match with one peer does not clear the mismatch: half of the fleet may lack a change that is no longer
// gossiped.
func (s *system) compareDigest(now time.Time, digest uint32) {
	if now.Sub(s.lastMismatch) > mismatchRetentionIntervals*s.timing.ProbeInterval {
		s.mismatchSince = time.Time{}
	}
	if digest == s.table.digest() {
		return
	}
	s.lastMismatch = now
	if s.mismatchSince.IsZero() {
		s.mismatchSince = now
	}
}

// startSync returns the first step of an anti-entropy exchange with the peer that just responded, if one is due.
func (s *system) startSync(now time.Time, peer string) (message, bool) {
	due := !s.mismatchSince.IsZero() && s.lastMismatch.Equal(now) && now.Sub(s.mismatchSince) >= 2*s.timing.ProbeInterval && !now.Before(s.nextSync)
	e := s.table.entries[peer]
	if !due || e == nil || s.superseded || s.leaving {
		return message{}, false
	}
	s.nextSync = now.Add(jitter(s.random, s.timing.SyncInterval))
	s.hooks.count("membership_sync")
	return s.syncMessage(e, &syncRequest{From: s.self, Digests: slices.Clone(s.table.digests[:])}), true
}

func (s *system) syncMessage(e *entry, request *syncRequest) message {
	return message{method: methodSync, to: e.ID, address: e.ControlAddress, sync: request, timeout: s.timing.ProbeInterval}
}

// handleSync handles either step of an exchange and returns the response.
func (s *system) handleSync(now time.Time, request syncRequest) syncResponse {
	if len(request.Digests) > 0 {
		return s.differingVersions(request.Digests)
	}
	s.apply(now, request.Updates[:min(len(request.Updates), maxSyncUpdates)])
	var response syncResponse
	for _, id := range request.Want[:min(len(request.Want), maxSyncUpdates)] {
		if e, ok := s.table.entries[id]; ok {
			response.Updates = append(response.Updates, e.fullUpdate(now))
		}
	}
	return response
}

func (s *system) differingVersions(digests []uint32) syncResponse {
	var response syncResponse
	if len(digests) != digestBuckets {
		return response
	}
	for bucket, digest := range digests {
		if digest != s.table.digests[bucket] && len(response.Versions) < maxSyncVersions {
			response.Buckets = append(response.Buckets, bucket)
			response.Versions = append(response.Versions, s.versions(bucket)...)
		}
	}
	return response
}

func (s *system) versions(bucket int) []version {
	var versions []version
	for _, id := range slices.Sorted(maps.Keys(s.table.entries)) {
		if e := s.table.entries[id]; int(e.hash%digestBuckets) == bucket {
			versions = append(versions, version{ID: id, Version: e.version})
		}
	}
	return versions
}

// continueSync returns the second step: the entries that differ, in both directions.
func (s *system) continueSync(now time.Time, peer string, response syncResponse) (message, bool) {
	request := &syncRequest{From: s.self}
	peerVersions := make(map[string]uint32, len(response.Versions))
	for _, v := range response.Versions {
		peerVersions[v.ID] = v.Version
		if e, ok := s.table.entries[v.ID]; (!ok || e.version != v.Version) && len(request.Want) < maxSyncUpdates {
			request.Want = append(request.Want, v.ID)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.table.entries)) {
		e := s.table.entries[id]
		if !slices.Contains(response.Buckets, int(e.hash%digestBuckets)) || len(request.Updates) == maxSyncUpdates {
			continue
		}
		if v, ok := peerVersions[id]; !ok || v != e.version {
			request.Updates = append(request.Updates, e.fullUpdate(now))
		}
	}
	e := s.table.entries[peer]
	if e == nil || len(request.Want)+len(request.Updates) == 0 {
		return message{}, false
	}
	return s.syncMessage(e, request), true
}
