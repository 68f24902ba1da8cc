package explain

import "fmt"

// sideTexts explains why a request went to a version during a rollout of its service, by the
// side of a line.
var sideTexts = map[string]string{
	"old":          "requests that share parts of its prompt had not been moved to the target yet",
	"target":       "requests that share parts of its prompt had been moved to the target",
	"sample":       "it was part of the sample of its route's requests that goes to the target",
	"limit":        "it was meant for the target, but its router had reached its limit there",
	"no_place":     "it was meant for the target, but no server there would have served it in time",
	"after_target": "an attempt at the target had brought no response",
	"moved":        "it had been broken off at a server of the old version to continue on one of the target",
}

// outcomeMoved is the outcome of an attempt that the router broke off to continue it on another
// version.
const outcomeMoved = "moved"

// versionSummary returns sentences, one a line, on the versions that the request went to and why,
// and whether its stream was moved. It returns "" if its service was not in a rollout.
func (t *Timeline) versionSummary() string {
	out := ""
	version, side := "", ""
	for _, step := range t.steps {
		nextVersion, nextSide := stringField(step.fields, "version"), stringField(step.fields, "side")
		if sideTexts[nextSide] != "" && (nextVersion != version || nextSide != side) {
			out += fmt.Sprintf("\nIt went to version %s: %s.", nextVersion, sideTexts[nextSide])
			version, side = nextVersion, nextSide
		}
		if stringField(step.fields, "outcome") == outcomeMoved {
			out += fmt.Sprintf("\nIts stream was broken off there by %s, to continue on a server of the new version.", step.Process)
		}
	}
	return out
}

// isVersionEvent reports whether a line is on a service's versions.
func isVersionEvent(l logLine) bool {
	return l.Event == "rollout_step" || l.Event == "version_not_ordered"
}

// recordVersions records a line on versions in latest: the newest step of a service's rollout,
// and the versions without an order. The target of a rollout has an order.
func recordVersions(l logLine, latest map[string]logLine) {
	service := stringField(l.fields, "service")
	if l.Event == "version_not_ordered" {
		latest[unorderedKey(service, stringField(l.fields, "version"))] = l
		return
	}
	latest["rollout of "+service] = l
	delete(latest, unorderedKey(service, stringField(l.fields, "target")))
}

func unorderedKey(service, version string) string {
	return "unordered version of " + service + ": " + version
}
