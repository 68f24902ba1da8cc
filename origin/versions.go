package origin

import (
	"maps"
	"math"
	"slices"
	"time"
)

// versionRetention is how long a version counts after its last server has gone: as long as streams
// that it began can be taken up.
const versionRetention = MaxLifetime

// maxVersions bounds the versions in a message about a service.
const maxVersions = 16

// listed is the expiry of a version that has servers.
const listed = time.Duration(math.MaxInt64)

// recentVersions holds, for each service, the versions that may have begun streams which can still
// be taken up, with the time until which each of them counts.
type recentVersions struct {
	services map[string]map[string]time.Duration
	// complete is set once the versions of all services include those from before the start of
	// this router; completeOf holds services for which this is known.
	complete   bool
	completeOf map[string]bool
}

// isComplete reports whether no version of a service is missing.
func (v *recentVersions) isComplete(service string) bool { return v.complete || v.completeOf[service] }

// setComplete records that no version of a service is missing.
func (v *recentVersions) setComplete(service string) {
	if v.completeOf == nil {
		v.completeOf = make(map[string]bool)
	}
	v.completeOf[service] = true
}

// setListed sets the versions that have servers, by service.
func (v *recentVersions) setListed(now time.Duration, services map[string][]string) {
	for service, versions := range v.services {
		for version, until := range versions {
			if until == listed && !slices.Contains(services[service], version) {
				versions[version] = now + versionRetention
			}
		}
	}
	for service, versions := range services {
		for _, version := range versions {
			v.add(service, version, listed)
		}
	}
}

// merge adds versions of a service that another router, or the source, knows of.
func (v *recentVersions) merge(now time.Duration, service string, versions []string) {
	for _, version := range versions {
		v.add(service, version, now+versionRetention)
	}
}

func (v *recentVersions) add(service, version string, until time.Duration) {
	if v.services == nil {
		v.services = make(map[string]map[string]time.Duration)
	}
	if v.services[service] == nil {
		v.services[service] = make(map[string]time.Duration)
	}
	v.services[service][version] = max(v.services[service][version], until)
}

// expire drops versions that count no longer.
func (v *recentVersions) expire(now time.Duration) {
	for service, versions := range v.services {
		maps.DeleteFunc(versions, func(_ string, until time.Duration) bool { return until <= now })
		if len(versions) == 0 {
			delete(v.services, service)
		}
	}
}

// of returns some versions of a service, in order; all of them if they are few.
func (v *recentVersions) of(service string) []string {
	all := slices.Sorted(maps.Keys(v.services[service]))
	return all[:min(len(all), maxVersions)]
}

// several reports whether streams of a service may have begun at several versions.
func (v *recentVersions) several(service string) bool { return len(v.services[service]) > 1 }
