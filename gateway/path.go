package gateway

import (
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// pathTo returns the path to the server that a request is sent to.
func (f *front) pathTo(cmd direct.SendCmd) traffic.Path {
	switch {
	case cmd.Server.Zone == f.hall:
		return traffic.WithinHall
	case cmd.CrossRegion:
		return traffic.BetweenRegions
	}
	return traffic.BetweenHalls
}
