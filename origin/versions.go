package origin

import (
	"maps"
	"math"
	"slices"
	"time"
)

// versionRetention is how long a version counts after its last server has gone: as long as streams
// that it began can be resumed.
const versionRetention = MaxLifetime

// maxVersions bounds the versions in a message about a service.
const maxVersions = 16

// listed is the expiry of a version that has servers.
const listed = time.Duration(math.MaxInt64)

// versionTimes holds, by service and version, the time until which a version counts.
type versionTimes map[string]map[string]time.Duration

func (v versionTimes) add(service, version string, until time.Duration) {
	if v[service] == nil {
		v[service] = make(map[string]time.Duration)
	}
	v[service][version] = max(v[service][version], until)
}

func (v versionTimes) expire(now time.Duration) {
	for service, versions := range v {
		maps.DeleteFunc(versions, func(_ string, until time.Duration) bool { return until <= now })
		if len(versions) == 0 {
			delete(v, service)
		}
	}
}

// recentVersions holds the versions that may have begun streams which can still be resumed. Create
// one with newRecentVersions.
type recentVersions struct {
	// known are the versions of which this router, or one that told it, has seen servers. stored
	// are those that the source keeps: since when their servers have gone is not known, so they
	// are not passed on, or routers would keep renewing them for one another.
	known, stored versionTimes
	// complete is set once the versions of all services include those from before the start of
	// this router; completeOf holds services for which this is known.
	complete   bool
	completeOf map[string]bool
	// since is when this router came into touch with the others.
	since time.Duration
}

func newRecentVersions(complete bool) recentVersions {
	return recentVersions{known: make(versionTimes), stored: make(versionTimes), complete: complete, completeOf: make(map[string]bool)}
}

// isComplete reports whether no version of a service is missing.
func (v *recentVersions) isComplete(service string) bool { return v.complete || v.completeOf[service] }

// setListed sets the versions that have servers, by service.
func (v *recentVersions) setListed(now time.Duration, services map[string][]string) {
	for service, versions := range v.known {
		for version, until := range versions {
			if until == listed && !slices.Contains(services[service], version) {
				versions[version] = now + versionRetention
			}
		}
	}
	for service, versions := range services {
		for _, version := range versions {
			v.known.add(service, version, listed)
		}
	}
}

// addListed adds versions that have servers as the source lists them, which this router may not have been told yet.
func (v *recentVersions) addListed(now time.Duration, services map[string][]string) {
	for service, versions := range services {
		for _, version := range versions {
			v.known.add(service, version, now+versionRetention)
		}
	}
}

// setStored adds the versions that the source keeps. Where it keeps any of a service, none is missing.
// Reading a version again does not make it count for longer: routers would keep it for one another.
func (v *recentVersions) setStored(now time.Duration, services map[string][]string) {
	for service, versions := range services {
		for _, version := range versions {
			if _, counts := v.stored[service][version]; !counts {
				v.stored.add(service, version, now+versionRetention)
			}
		}
		if len(versions) > 0 {
			v.completeOf[service] = true
		}
	}
}

// forgetHistory reports that versions may have come and gone unseen until now.
func (v *recentVersions) forgetHistory(now time.Duration) {
	v.complete, v.since = false, now
	clear(v.completeOf)
}

// expire drops versions that count no longer. Versions that this router may have missed count no longer
// either once it has been in touch for long enough.
func (v *recentVersions) expire(now time.Duration) {
	v.known.expire(now)
	v.stored.expire(now)
	v.complete = v.complete || now-v.since >= versionRetention
}

// listedCount returns the number of versions of a service that have servers.
func (v *recentVersions) listedCount(service string) int {
	n := 0
	for _, until := range v.known[service] {
		if until == listed {
			n++
		}
	}
	return n
}

// of returns the versions of a service in order.
func (v *recentVersions) of(service string) []string {
	all := slices.Collect(maps.Keys(v.known[service]))
	for version := range v.stored[service] {
		if _, known := v.known[service][version]; !known {
			all = append(all, version)
		}
	}
	slices.Sort(all)
	return all
}

// several reports whether streams of a service may have begun at several versions.
func (v *recentVersions) several(service string) bool { return len(v.of(service)) > 1 }

// services returns the services that have recent versions, in order.
func (v *recentVersions) services() []string {
	all := slices.Collect(maps.Keys(v.known))
	for service := range v.stored {
		if v.known[service] == nil {
			all = append(all, service)
		}
	}
	slices.Sort(all)
	return all
}

// tell returns what this router can tell of a service: some versions, all if they are few, and
// whether none is missing.
func (v *recentVersions) tell(now time.Duration, service string) ([]RecentVersion, bool) {
	var out []RecentVersion
	for _, version := range slices.Sorted(maps.Keys(v.known[service])) {
		left := min(v.known[service][version]-now, versionRetention)
		if len(out) < maxVersions && left > 0 {
			out = append(out, RecentVersion{Name: version, Left: left})
		}
	}
	complete := v.isComplete(service) && len(v.of(service)) == len(v.known[service])
	return out, complete
}

// hear adds what another router has told of a service.
func (v *recentVersions) hear(now time.Duration, service string, versions []RecentVersion, complete bool) {
	for _, version := range versions {
		v.known.add(service, version.Name, now+min(version.Left, versionRetention))
	}
	if complete {
		v.completeOf[service] = true
	}
}
