package explain

import "fmt"

// sideTexts say why a request went to a version while its service moved from one to another,
// by the side of a line.
var sideTexts = map[string]string{
	"old":          "the requests that share its prompt's parts had not been moved yet",
	"target":       "the requests that share its prompt's parts had been moved to it",
	"sample":       "a small part of its route's requests goes to the target, and too few had",
	"limit":        "it was to go to the target, but its router could send no more there at the time",
	"no_place":     "it was to go to the target, but no server there would have served it in time",
	"after_target": "an attempt at the target had brought no answer",
	"moved":        "it had been broken off at a server of the old version, to go on at one of the target",
}

// outcomeMoved is that of an attempt which the router broke off to go on at another version.
const outcomeMoved = "moved"

// versionSummary says in sentences, each on a line of its own, to which versions the request went
// and why, and whether its stream was moved; empty where its service was not being moved.
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
			out += fmt.Sprintf("\nIts stream was broken off there by %s, to go on at a server of the new version.", step.Process)
		}
	}
	return out
}

// isVersionEvent tells whether a line is on a service's versions.
func isVersionEvent(l logLine) bool {
	return l.Event == "rollout_step" || l.Event == "version_not_ordered"
}

// recordVersions takes in what a line tells of versions: the newest step of a service's
// roll-out, and the versions that nobody has ordered. A version that is moved to has been.
func recordVersions(l logLine, latest map[string]logLine) {
	service := stringField(l.fields, "service")
	if l.Event == "version_not_ordered" {
		latest[unorderedKey(service, stringField(l.fields, "version"))] = l
		return
	}
	latest["roll-out of "+service] = l
	delete(latest, unorderedKey(service, stringField(l.fields, "target")))
}

func unorderedKey(service, version string) string {
	return "unordered version of " + service + ": " + version
}
