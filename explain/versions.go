package explain

import "fmt"

// sideTexts explains why a request went to a version during a rollout of its service, by the
// side of a line.
var sideTexts = map[string]string{
	"old":          "requests that share parts of its prompt had not been moved to the target yet",
	"target":       "requests that share parts of its prompt had been moved to the target",
	"sample":       "a small part of its route's requests goes to the target, and too few of the route's requests had gone there so far",
	"limit":        "it was meant for the target, but its router could send no more requests there at the time",
	"no_place":     "it was meant for the target, but no server there would have served it in time",
	"after_target": "an attempt at the target had brought no response",
	"begun":        "a server of that version had begun its stream, and others can't continue it",
	"moved":        "it had been broken off at a server of the old version to continue on one of the target",
}

// outcomeMoved is the outcome of an attempt that the router broke off to continue it on another
// version. Routers of earlier builds log it, with the side "moved".
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

// isVersionEvent reports whether a line is about the versions of a service.
func isVersionEvent(l logLine) bool {
	return l.Event == "rollout_step" || l.Event == "version_not_ordered"
}

// recordVersions stores a line about versions in latest, which holds the newest step of each
// service's rollout and each version without an order. A version that becomes the target of a
// rollout has an order, so its entry is deleted.
func recordVersions(l logLine, latest map[string]logLine) {
	service := stringField(l.fields, "service")
	if l.Event == "version_not_ordered" {
		latest[unorderedKey(service, stringField(l.fields, "version"))] = l
		return
	}
	latest["rollout of "+service] = l
	delete(latest, unorderedKey(service, stringField(l.fields, "target")))
}

// unorderedKey returns the key in latest of a version without an order.
func unorderedKey(service, version string) string {
	return "unordered version of " + service + ": " + version
}
