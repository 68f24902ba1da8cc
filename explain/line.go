package explain

import (
	"bytes"
	"encoding/json"
	"time"
)

// logLine is a parsed line of a router's log.
type logLine struct {
	Time    time.Time
	Process string
	Event   string
	Request string
	Server  string
	fields  map[string]any
}

// parseLine parses a line and skips any text before the JSON object, such as a time or
// a host name. ok is false if the line holds no JSON object with a time and an event.
func parseLine(text []byte) (l logLine, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, stringField(fields, "time"))
	if err != nil || stringField(fields, "event") == "" {
		return logLine{}, false
	}
	l = logLine{
		Time: at, Process: stringField(fields, "process"), Event: stringField(fields, "event"),
		Request: stringField(fields, "request"), Server: stringField(fields, "server"), fields: fields,
	}
	for _, name := range []string{"time", "level", "process", "event", "request"} {
		delete(fields, name)
	}
	return l, true
}

func stringField(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	return s
}
