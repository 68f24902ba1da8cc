package explain

import "fmt"

// sides say why a request went to a version while its service moved from one to another,
// by the side of a line.
var sides = map[string]string{
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

// versions says in sentences, each on a line of its own, to which versions the request went
// and why, and whether its stream was moved; empty where its service was not being moved.
func (s *Timeline) versions() string {
	out := ""
	version, side := "", ""
	for _, step := range s.steps {
		v, why := word(step.fields, "version"), word(step.fields, "side")
		if sides[why] != "" && (v != version || why != side) {
			out += fmt.Sprintf("\nIt went to version %s: %s.", v, sides[why])
			version, side = v, why
		}
		if word(step.fields, "outcome") == outcomeMoved {
			out += fmt.Sprintf("\nIts stream was broken off there by %s, to go on at a server of the new version.", step.Process)
		}
	}
	return out
}

// aboutVersions tells whether a line is on a service's versions.
func aboutVersions(l line) bool { return l.Event == "rollout_step" || l.Event == "version_not_ordered" }

// noteVersions takes in what a line tells of versions: the newest step of a service's
// roll-out, and the versions that nobody has ordered. A version that is moved to has been.
func noteVersions(l line, latest map[string]line) {
	service := word(l.fields, "service")
	if l.Event == "version_not_ordered" {
		latest[unordered(service, word(l.fields, "version"))] = l
		return
	}
	latest["roll-out of "+service] = l
	delete(latest, unordered(service, word(l.fields, "target")))
}

func unordered(service, version string) string {
	return "unordered version of " + service + ": " + version
}
