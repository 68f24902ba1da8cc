package explain

import (
	"bytes"
	"encoding/json"
	"time"
)

// line is one line of a router's log.
type line struct {
	Time    time.Time
	Process string
	Event   string
	Request string
	Server  string
	fields  map[string]any
}

// parse reads a line. What stands before the JSON object (a time, a host's name)
// is passed over; ok is false where there is no such object.
func parse(text []byte) (l line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, word(fields, "time"))
	if err != nil || word(fields, "event") == "" {
		return line{}, false
	}
	l = line{
		Time: at, Process: word(fields, "process"), Event: word(fields, "event"),
		Request: word(fields, "request"), Server: word(fields, "server"), fields: fields,
	}
	for _, known := range []string{"time", "level", "process", "event", "request"} {
		delete(fields, known)
	}
	return l, true
}

func word(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	return s
}
