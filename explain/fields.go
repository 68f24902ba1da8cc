package explain

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// durationFields are the log fields that hold a duration in milliseconds.
var durationFields = map[string]bool{
	"took": true, "first_after": true, "waited": true, "estimate": true, "after": true,
	"config_age": true, "lag": true, "age": true, "left": true, "for": true, "idle_timeout": true,
	"within": true,
}

// fieldUnits holds the unit suffixes of the other numeric fields.
var fieldUnits = map[string]string{
	"pending_tokens": " tokens", "miss_tokens": " tokens",
	"level": " tokens/s", "even": " tokens/s", "body_bytes": " bytes", "heap_bytes": " bytes", "stack_bytes": " bytes",
}

// fieldText formats the non-empty fields in the order of their names, with units.
func fieldText(fields map[string]any) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if fields[name] != "" {
			out = append(out, name+"="+valueText(name, fields[name]))
		}
	}
	return strings.Join(out, " ")
}

func valueText(name string, value any) string {
	switch value := value.(type) {
	case float64:
		if durationFields[name] {
			return durationText(value)
		}
		return numberText(value) + fieldUnits[name]
	case []any:
		items := make([]string, len(value))
		for i, item := range value {
			items[i] = itemText(item)
		}
		return "[" + strings.Join(items, ", ") + "]"
	}
	return fmt.Sprint(value)
}

// itemText formats an item of a list: a team's rates or a plain value.
func itemText(item any) string {
	team, ok := item.(map[string]any)
	if !ok {
		return fmt.Sprint(item)
	}
	offered, _ := team["Offered"].(float64)
	served, _ := team["Served"].(float64)
	return fmt.Sprintf("%v asks for %s, gets %s tokens/s", team["Team"], numberText(offered), numberText(served))
}

const (
	// wholeNumberMin is the magnitude from which numbers are printed without decimals.
	wholeNumberMin = 100
	decimals       = 3
)

// numberText formats a number, with decimals only if it is a fraction below wholeNumberMin.
func numberText(number float64) string {
	if math.Abs(number) >= wholeNumberMin || number == math.Trunc(number) {
		return strconv.FormatFloat(number, 'f', 0, 64)
	}
	return strconv.FormatFloat(number, 'f', decimals, 64)
}
